package saltstage.coordinator.replica;

import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import saltstage.log.Log;

/**
 * The one thread of a replica, and the clock of its engine. The engine counts heartbeats in whole
 * seconds and takes five for the least silence; here its clock goes some times faster than the
 * world's, so that a dead leader is noticed sooner. It is monotonic: steps of the wall clock touch
 * neither elections nor time-outs.
 */
final class RaftThread implements RaftNodeExecutor {
    /**
     * The engine takes the time since 0 for silence of a leader: a start at 0 would wait for one
     * that never was.
     */
    private static final long CLOCK_START_MS = 1_000_000_000;

    private final ScheduledThreadPoolExecutor executor;
    private final double clockSpeed;
    private final long startNanos = System.nanoTime();

    RaftThread(String name, double speed) {
        this.clockSpeed = speed;
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread made = new Thread(task, name);
                            made.setDaemon(true);
                            return made;
                        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException fault) {
                // The engine's thread must go on for the tasks after it.
                Log.error("replica.fault", fault);
            }
        };
    }

    @Override
    public void execute(Runnable task) {
        if (!executor.isShutdown()) {
            executor.execute(guarded(task));
        }
    }

    @Override
    public void submit(Runnable task) {
        execute(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        scheduleRealTime(task, (long) (unit.toNanos(delay) / clockSpeed));
    }

    /** Once, after so many of the world's nanoseconds. */
    void scheduleRealTime(Runnable task, long nanos) {
        if (!executor.isShutdown()) {
            executor.schedule(guarded(task), nanos, TimeUnit.NANOSECONDS);
        }
    }

    /** The engine's clock. */
    Clock clock() {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public long millis() {
                return CLOCK_START_MS
                        + (long) ((System.nanoTime() - startNanos) * clockSpeed / 1_000_000);
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli(millis());
            }
        };
    }

    void shutdown() {
        executor.shutdownNow();
    }
}
