package saltstage.stage;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import saltstage.log.Log;
import saltstage.metrics.ProcessUsage;

/**
 * Limits the number of requests by the number of threads that the platform can start. A platform
 * with a thread limit shows it only by refusing to start a thread, and then no thread is left for a
 * signal, which the JVM handles on a new thread. Capacity is therefore verified before it is
 * granted: threads are started for a moment, and a reserve of the verified number is never given to
 * requests.
 */
final class ThreadBudget {
    /** One thread reads from the client, and one reads from the backend. */
    static final int THREADS_PER_REQUEST = 2;

    /**
     * Threads kept free for signals, calls to discovery, operator calls and the JVM's own threads.
     */
    static final int RESERVED_THREADS = 24;

    /** Number of additional threads that are verified at a time. */
    private static final int GROWTH_STEP_THREADS = 32;

    /**
     * If a thread start still fails after this many attempts with the pause between them, the
     * failure is not temporary.
     */
    private static final int MAX_START_ATTEMPTS = 50;

    private static final Duration RETRY_PAUSE = Duration.ofMillis(2);

    /** Tolerates other threads that may have started in the meantime. */
    private static final int UNRELATED_THREADS_TOLERANCE = 4;

    /** A platform that refused a thread is not tested again before this interval has passed. */
    private static final Duration LIMITED_RETRY_INTERVAL = Duration.ofSeconds(1);

    private final ThreadStarter starter;
    private int grantedThreads;
    private int runningThreads;
    private int verifiedThreads;
    private boolean limited;
    private long retryAtNanos;

    /** Starts a thread, as {@link Threads#start} does. */
    interface ThreadStarter {
        /** Returns false if the machine has no thread left. */
        boolean start(String name, Threads.Work work);
    }

    ThreadBudget(ThreadStarter starter) {
        this.starter = starter;
    }

    /**
     * Acquires the threads of one request; returns false if the platform has no capacity for them
     * beside the reserve.
     */
    synchronized boolean tryAcquire() {
        if (grantedThreads + THREADS_PER_REQUEST > verifiedThreads
                && (!limited || System.nanoTime() - retryAtNanos >= 0)) {
            verifyCapacity();
        }
        if (grantedThreads + THREADS_PER_REQUEST > verifiedThreads) {
            return false;
        }
        grantedThreads += THREADS_PER_REQUEST;
        return true;
    }

    /** Releases the threads of one request. */
    synchronized void release() {
        grantedThreads -= THREADS_PER_REQUEST;
    }

    /**
     * Starts a thread of a request that has acquired it, and retries if the start fails for a
     * moment.
     */
    boolean start(String name, Threads.Work work) {
        adjustRunning(1);
        for (int attempt = 0; attempt < MAX_START_ATTEMPTS; attempt++) {
            if (starter.start(name, () -> runThenUncount(work))) {
                return true;
            }
            if (!pause()) {
                break;
            }
        }
        adjustRunning(-1);
        Log.warn("threads.exhausted", "thread", name);
        return false;
    }

    private void runThenUncount(Threads.Work work) throws Exception {
        try {
            work.run();
        } finally {
            adjustRunning(-1);
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(RETRY_PAUSE.toMillis());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private synchronized void adjustRunning(int delta) {
        runningThreads += delta;
    }

    /** Returns the number of threads that requests are running. */
    synchronized int runningThreads() {
        return runningThreads;
    }

    private void verifyCapacity() {
        int unstarted = Math.max(0, grantedThreads - runningThreads);
        int wanted = unstarted + GROWTH_STEP_THREADS + RESERVED_THREADS;
        int startable = countStartableThreads(wanted);
        verifiedThreads = runningThreads + startable - RESERVED_THREADS;
        if (startable < wanted && !limited) {
            Log.warn(
                    "threads.limited",
                    "requests",
                    verifiedThreads / THREADS_PER_REQUEST,
                    "threads",
                    runningThreads + startable);
        }
        limited = startable < wanted;
        retryAtNanos = System.nanoTime() + LIMITED_RETRY_INTERVAL.toNanos();
    }

    /**
     * Returns how many of the wanted number of threads can exist at the same time. All of them have
     * ended when this returns, unless the platform is slow to release them.
     */
    private int countStartableThreads(int wanted) {
        long threadsBefore = ProcessUsage.threads();
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch finished = new CountDownLatch(wanted);
        int started = 0;
        while (started < wanted && starter.start("room", () -> awaitThenEnd(released, finished))) {
            started++;
        }
        released.countDown();
        for (int i = started; i < wanted; i++) {
            finished.countDown();
        }
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        awaitThreadExit(threadsBefore);
        return started;
    }

    /**
     * Waits for threads to exit. The platform counts a thread for a moment longer after its work is
     * done.
     */
    private static void awaitThreadExit(long threadsBefore) {
        for (int i = 0;
                i < MAX_START_ATTEMPTS
                        && ProcessUsage.threads() > threadsBefore + UNRELATED_THREADS_TOLERANCE;
                i++) {
            if (!pause()) {
                return;
            }
        }
    }

    private static void awaitThenEnd(CountDownLatch released, CountDownLatch finished)
            throws InterruptedException {
        try {
            released.await();
        } finally {
            finished.countDown();
        }
    }
}
