package saltstage.wire;

import java.io.IOException;
import java.io.InputStream;

/** The body of a chunked answer; a malformed chunk is an IOException, like a broken connection. */
final class ChunkedInput extends InputStream {
    private static final int MOST_SIZE_LINE = 256;
    private static final long MOST_CHUNK = 16 << 20;

    private final InputStream in;
    private long left;
    private boolean first = true;
    private boolean over;

    ChunkedInput(InputStream in) {
        this.in = in;
    }

    @Override
    public int read() throws IOException {
        if (!over && left == 0) {
            nextChunk();
        }
        if (over) {
            return -1;
        }
        left--;
        return must();
    }

    private void nextChunk() throws IOException {
        if (!first) {
            expect('\r');
            expect('\n');
        }
        first = false;
        StringBuilder size = new StringBuilder();
        for (int c = must(); c != '\n'; c = must()) {
            size.append((char) c);
            if (size.length() > MOST_SIZE_LINE) {
                throw new IOException("chunk size too long");
            }
        }
        String digits = size.toString().split(";", 2)[0].trim();
        if (!digits.matches("[0-9a-fA-F]{1,8}")) {
            throw new IOException("bad chunk size");
        }
        left = Long.parseLong(digits, 16);
        if (left > MOST_CHUNK) {
            throw new IOException("chunk too large");
        }
        over = left == 0;
    }

    private void expect(int wanted) throws IOException {
        if (must() != wanted) {
            throw new IOException("bad end of a chunk");
        }
    }

    private int must() throws IOException {
        int c = in.read();
        if (c < 0) {
            throw new IOException("connection ended in a chunk");
        }
        return c;
    }
}
