package saltstage.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the received bytes into whole frames (2.3.1) and protocol headers (2.2). protonj2 1.0.0
 * joins a frame that arrives in parts in a composite buffer, in which it reads arrays of symbols at
 * a wrong offset. Therefore the engine is given whole frames only. Bytes that cannot be a frame are
 * passed on unchanged, and the engine rejects them.
 */
final class FrameSplitter {
    private static final int HEADER_BYTES = 8;
    private static final int AMQP_MAGIC = 0x414D5150;

    private final int maxFrameBytes;
    private byte[] partialFrame = {};

    /** Creates a splitter that never buffers more than one frame of the maximum size. */
    FrameSplitter(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Adds the received bytes and returns all whole frames, or an empty array. */
    byte[] takeWholeFrames(byte[] received) {
        byte[] bytes = received;
        if (partialFrame.length > 0) {
            bytes = Arrays.copyOf(partialFrame, partialFrame.length + received.length);
            System.arraycopy(received, 0, bytes, partialFrame.length, received.length);
        }
        ByteBuffer view = ByteBuffer.wrap(bytes);
        int end = 0;
        while (bytes.length - end >= HEADER_BYTES) {
            int size = view.getInt(end);
            if (size == AMQP_MAGIC) {
                size = HEADER_BYTES;
            } else if (size < HEADER_BYTES || size > maxFrameBytes) {
                end = bytes.length;
                break;
            }
            if (size > bytes.length - end) {
                break;
            }
            end += size;
        }
        partialFrame =
                end == bytes.length ? new byte[0] : Arrays.copyOfRange(bytes, end, bytes.length);
        return end == bytes.length ? bytes : Arrays.copyOf(bytes, end);
    }

    /** Returns the number of buffered bytes of an incomplete frame. */
    int partialFrameBytes() {
        return partialFrame.length;
    }
}
