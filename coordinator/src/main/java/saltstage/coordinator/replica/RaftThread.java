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
 * The single thread of a replica's consensus engine, and the engine's clock. The engine counts
 * heartbeats in whole seconds and accepts no heartbeat time-out below five seconds. Its clock
 * therefore runs faster than real time, so that a dead leader is detected sooner. The clock is
 * monotonic: steps of the wall clock affect neither elections nor time-outs.
 */
final class RaftThread implements RaftNodeExecutor {
    /**
     * The engine counts the time since 0 as a leader's silence: with a clock that starts at 0 it
     * would first wait for a leader that never existed.
     */
    private static final long CLOCK_START_MS = 1_000_000_000;

    private final ScheduledThreadPoolExecutor executor;
    private final double clockSpeed;
    private final long startNanos = System.nanoTime();

    RaftThread(String name, double clockSpeed) {
        this.clockSpeed = clockSpeed;
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        executor.setRemoveOnCancelPolicy(true);
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException fault) {
                // The engine's thread must survive for the tasks that follow.
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

    /** Runs a task once, after a delay in nanoseconds of real time. */
    void scheduleRealTime(Runnable task, long delayNanos) {
        if (!executor.isShutdown()) {
            executor.schedule(guarded(task), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    /** The engine's clock, which runs faster than real time by the clock speed. */
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
