package saltstage.session;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** What is due later, run in order of time on one thread of its own; what runs must not block. */
public final class Timers {
    private record ScheduledTask(Instant dueAt, long sequence, Runnable task) {}

    private final MonotonicClock clock;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(
                    Comparator.comparing(ScheduledTask::dueAt)
                            .thenComparingLong(ScheduledTask::sequence));
    private long nextSequence;

    /** Timers on this clock; {@link #awaitNext} feeds the thread that runs them. */
    public Timers(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Runs the task once, that much later. */
    public synchronized void schedule(Duration delay, Runnable task) {
        queue.add(new ScheduledTask(clock.now().plus(delay), nextSequence++, task));
        notifyAll();
    }

    /** Waits for the next task that is due. */
    public synchronized Runnable awaitNext() throws InterruptedException {
        while (true) {
            ScheduledTask due = queue.peek();
            if (due == null) {
                wait();
                continue;
            }
            long nanos = Duration.between(clock.now(), due.dueAt()).toNanos();
            if (nanos <= 0) {
                return queue.remove().task();
            }
            wait(nanos / 1_000_000, (int) (nanos % 1_000_000));
        }
    }
}
