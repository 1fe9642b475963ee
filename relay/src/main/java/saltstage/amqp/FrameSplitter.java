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
    private byte[] buffered = {};

    /** Creates a splitter for frames of at most this size. */
    FrameSplitter(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Adds received bytes. */
    void add(byte[] received) {
        if (buffered.length == 0) {
            buffered = received;
            return;
        }
        int before = buffered.length;
        buffered = Arrays.copyOf(buffered, before + received.length);
        System.arraycopy(received, 0, buffered, before, received.length);
    }

    /** Removes and returns whole frames, at most this many, or an empty array. */
    byte[] takeWholeFrames(int maxFrames) {
        ByteBuffer view = ByteBuffer.wrap(buffered);
        int end = 0;
        for (int frames = 0; frames < maxFrames; frames++) {
            int next = endOfFrame(view, end);
            if (next == end) {
                break;
            }
            end = next;
        }
        byte[] taken = end == buffered.length ? buffered : Arrays.copyOf(buffered, end);
        buffered =
                end == buffered.length
                        ? new byte[0]
                        : Arrays.copyOfRange(buffered, end, buffered.length);
        return taken;
    }

    /** Returns the end of the frame that starts here, or the same offset if it is incomplete. */
    private int endOfFrame(ByteBuffer view, int start) {
        if (view.capacity() - start < HEADER_BYTES) {
            return start;
        }
        int size = view.getInt(start);
        if (size == AMQP_MAGIC) {
            size = HEADER_BYTES;
        } else if (size < HEADER_BYTES || size > maxFrameBytes) {
            return view.capacity(); // no frame: the engine rejects all that follows
        }
        return size > view.capacity() - start ? start : start + size;
    }

    /** Returns whether a whole frame is left. */
    boolean hasWholeFrame() {
        return endOfFrame(ByteBuffer.wrap(buffered), 0) > 0;
    }

    /** Returns the number of buffered bytes. */
    int bufferedBytes() {
        return buffered.length;
    }
}
