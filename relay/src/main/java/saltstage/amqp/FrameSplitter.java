package saltstage.amqp;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts what comes into whole frames (2.3.1) and protocol headers (2.2). protonj2 1.0.0 joins the
 * pieces of a frame that came in parts in a composite buffer, in which an array of symbols is read
 * at a wrong offset; so it is shown whole frames only. What can be no frame is passed on as it is:
 * the engine refuses it.
 */
final class FrameSplitter {
    private static final int HEADER_BYTES = 8;
    private static final int AMQP_MAGIC = 0x414D5150;

    private final int maxFrameBytes;
    private byte[] partialFrame = {};

    /** Frames of at most so many bytes; more than that is never gathered. */
    FrameSplitter(int most) {
        this.maxFrameBytes = most;
    }

    /** Takes what has come; returns what is whole now, perhaps nothing. */
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

    /** How many bytes wait for the rest of their frame. */
    int partialFrameBytes() {
        return partialFrame.length;
    }
}
