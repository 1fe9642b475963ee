package saltstage.stage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Writes to channels in non-blocking mode. */
final class NonBlockingWrites {
    private NonBlockingWrites() {}

    /**
     * Writes a few bytes, in as many parts as the system accepts; throws an exception if it accepts
     * no more.
     */
    static void writeFully(SocketChannel channel, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            if (channel.write(remaining) == 0) {
                throw new IOException("the other side takes nothing");
            }
        }
    }
}
