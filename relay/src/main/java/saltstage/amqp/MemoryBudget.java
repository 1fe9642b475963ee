package saltstage.amqp;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that all AMQP clients together may occupy, and the share of each. Up to half of the
 * limit, any client may hold any part of it. Beyond that, each may hold an equal share of the other
 * half, so that the sum never exceeds the limit. The amounts are estimates by those who hold the
 * memory.
 */
final class MemoryBudget {
    private final long unsharedLimit;
    private final AtomicLong total = new AtomicLong();
    private final AtomicInteger accountCount = new AtomicInteger();

    /** Creates a budget of this many bytes. */
    MemoryBudget(long limitBytes) {
        unsharedLimit = limitBytes / 2;
    }

    /** Opens the account of a client. */
    Account open() {
        accountCount.incrementAndGet();
        return new Account();
    }

    /** Returns the bytes that all accounts hold. */
    long heldBytes() {
        return total.get();
    }

    /** The memory of one client; used on the loop of its connection only. */
    final class Account {
        private long held;
        private boolean closed;

        /** Adds bytes that the client occupies from now on; a negative number releases them. */
        void add(long bytes) {
            if (!closed) {
                held += bytes;
                total.addAndGet(bytes);
            }
        }

        /** Returns whether the client may occupy this many bytes in addition. */
        boolean hasRoomFor(long bytes) {
            return total.get() + bytes <= unsharedLimit || held + bytes <= share();
        }

        /** Returns whether the client holds more than it may. */
        boolean isOverShare() {
            return !hasRoomFor(0);
        }

        private long share() {
            return unsharedLimit / Math.max(1, accountCount.get());
        }

        /** Returns the bytes that the client occupies. */
        long heldBytes() {
            return held;
        }

        /** Releases all that the client occupies; has no effect if the account is closed. */
        void close() {
            add(-held);
            if (!closed) {
                closed = true;
                accountCount.decrementAndGet();
            }
        }
    }
}
