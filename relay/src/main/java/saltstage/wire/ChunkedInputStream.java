package saltstage.wire;

import java.io.IOException;
import java.io.InputStream;

/**
 * Decodes the body of a chunked HTTP response. A malformed chunk causes an IOException, as a broken
 * connection does.
 */
final class ChunkedInputStream extends InputStream {
    private static final int MAX_SIZE_LINE_CHARS = 256;
    private static final long MAX_CHUNK_BYTES = 16 << 20;

    private final InputStream in;
    private long remainingBytes;
    private boolean firstChunk = true;
    private boolean endOfBody;

    ChunkedInputStream(InputStream in) {
        this.in = in;
    }

    @Override
    public int read() throws IOException {
        if (!endOfBody && remainingBytes == 0) {
            readChunkHeader();
        }
        if (endOfBody) {
            return -1;
        }
        remainingBytes--;
        return readRequired();
    }

    private void readChunkHeader() throws IOException {
        if (!firstChunk) {
            expect('\r');
            expect('\n');
        }
        firstChunk = false;
        StringBuilder size = new StringBuilder();
        for (int c = readRequired(); c != '\n'; c = readRequired()) {
            size.append((char) c);
            if (size.length() > MAX_SIZE_LINE_CHARS) {
                throw new IOException("chunk size too long");
            }
        }
        String digits = size.toString().split(";", 2)[0].trim();
        if (!digits.matches("[0-9a-fA-F]{1,8}")) {
            throw new IOException("bad chunk size");
        }
        remainingBytes = Long.parseLong(digits, 16);
        if (remainingBytes > MAX_CHUNK_BYTES) {
            throw new IOException("chunk too large");
        }
        endOfBody = remainingBytes == 0;
    }

    private void expect(int expected) throws IOException {
        if (readRequired() != expected) {
            throw new IOException("bad end of a chunk");
        }
    }

    private int readRequired() throws IOException {
        int c = in.read();
        if (c < 0) {
            throw new IOException("connection ended in a chunk");
        }
        return c;
    }
}
