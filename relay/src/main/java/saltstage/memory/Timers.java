package saltstage.memory;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** What is due later, run in order of time on one thread of its own; what runs must not block. */
public final class Timers {
    private record Due(Instant at, long order, Runnable task) {}

    private final MonotonicClock clock;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparing(Due::at).thenComparingLong(Due::order));
    private long order;

    /** Timers on this clock; {@link #next} feeds the thread that runs them. */
    public Timers(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Runs the task once, that much later. */
    public synchronized void after(Duration delay, Runnable task) {
        queue.add(new Due(clock.now().plus(delay), order++, task));
        notifyAll();
    }

    /** Waits for the next task that is due. */
    public synchronized Runnable next() throws InterruptedException {
        while (true) {
            Due due = queue.peek();
            if (due == null) {
                wait();
                continue;
            }
            long nanos = Duration.between(clock.now(), due.at()).toNanos();
            if (nanos <= 0) {
                return queue.remove().task();
            }
            wait(nanos / 1_000_000, (int) (nanos % 1_000_000));
        }
    }
}
