package saltstage.session;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Tasks to be run later, in order of time on one dedicated thread. A task must not block. */
public final class Timers {
    private record ScheduledTask(Instant dueAt, long sequence, Runnable task) {}

    private final MonotonicClock clock;
    private final PriorityQueue<ScheduledTask> queue =
            new PriorityQueue<>(
                    Comparator.comparing(ScheduledTask::dueAt)
                            .thenComparingLong(ScheduledTask::sequence));
    private long nextSequence;

    /** Creates timers on this clock; {@link #awaitNext} supplies the thread that runs the tasks. */
    public Timers(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Schedules the task to run once after this delay. */
    public synchronized void schedule(Duration delay, Runnable task) {
        queue.add(new ScheduledTask(clock.now().plus(delay), nextSequence++, task));
        notifyAll();
    }

    /** Waits until a task is due and returns it. */
    public synchronized Runnable awaitNext() throws InterruptedException {
        while (true) {
            ScheduledTask next = queue.peek();
            if (next == null) {
                wait();
                continue;
            }
            long nanos = Duration.between(clock.now(), next.dueAt()).toNanos();
            if (nanos <= 0) {
                return queue.remove().task();
            }
            wait(nanos / 1_000_000, (int) (nanos % 1_000_000));
        }
    }
}
