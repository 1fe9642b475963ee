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
    FrameSplitter(int most) {
        this.maxFrameBytes = most;
    }

    /** Adds the received bytes and returns all whole frames, or an empty array. */
    byte[] takeWholeFrames(byte[] came) {
        byte[] all = came;
        if (partialFrame.length > 0) {
            all = Arrays.copyOf(partialFrame, partialFrame.length + came.length);
            System.arraycopy(came, 0, all, partialFrame.length, came.length);
        }
        ByteBuffer view = ByteBuffer.wrap(all);
        int end = 0;
        while (all.length - end >= HEADER_BYTES) {
            int size = view.getInt(end);
            if (size == AMQP_MAGIC) {
                size = HEADER_BYTES;
            } else if (size < HEADER_BYTES || size > maxFrameBytes) {
                end = all.length;
                break;
            }
            if (size > all.length - end) {
                break;
            }
            end += size;
        }
        partialFrame = end == all.length ? new byte[0] : Arrays.copyOfRange(all, end, all.length);
        return end == all.length ? all : Arrays.copyOf(all, end);
    }

    /** Returns the number of buffered bytes of an incomplete frame. */
    int partialFrameBytes() {
        return partialFrame.length;
    }
}
