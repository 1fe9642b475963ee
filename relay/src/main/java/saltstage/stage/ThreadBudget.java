package saltstage.stage;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import saltstage.log.Log;
import saltstage.metrics.ProcessUsage;

/**
 * How many requests there are threads for. A platform with a limit on threads tells it only by
 * refusing one, and then none is left for a signal, which the JVM handles on a new thread. So room
 * is proven before it is given away: threads are started for a moment, and a reserve of what was
 * proven is never given to requests.
 */
final class ThreadBudget {
    /** One that reads the client and one that reads the backend. */
    static final int THREADS_PER_REQUEST = 2;

    /** Kept free for signals, calls to discovery, operators' calls and the JVM's own threads. */
    static final int RESERVED_THREADS = 24;

    /** How much more room is proven at a time. */
    private static final int GROWTH_STEP_THREADS = 32;

    /** A refusal that lasts this often as long as the pause is none of a moment. */
    private static final int MAX_START_ATTEMPTS = 50;

    private static final Duration RETRY_PAUSE = Duration.ofMillis(2);

    /** Other threads may have begun meanwhile. */
    private static final int UNRELATED_THREADS_TOLERANCE = 4;

    /** A platform that has refused a thread is not tried again sooner. */
    private static final Duration LIMITED_RETRY_INTERVAL = Duration.ofSeconds(1);

    private final ThreadStarter starter;
    private int grantedThreads;
    private int runningThreads;
    private int verifiedThreads;
    private boolean limited;
    private long retryAtNanos;

    /** Starts a thread, as {@link Threads#start} does. */
    interface ThreadStarter {
        /** False where the machine has no thread left. */
        boolean start(String name, Threads.Work work);
    }

    ThreadBudget(ThreadStarter starter) {
        this.starter = starter;
    }

    /**
     * Takes the threads of one request; false where the platform has no room for them beside the
     * reserve.
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

    /** Gives the threads of one request back. */
    synchronized void release() {
        grantedThreads -= THREADS_PER_REQUEST;
    }

    /**
     * Starts a thread of a request that has acquired it; what is refused for a moment is tried
     * again.
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

    private synchronized void adjustRunning(int more) {
        runningThreads += more;
    }

    /** How many threads requests have now. */
    synchronized int runningThreads() {
        return runningThreads;
    }

    private void verifyCapacity() {
        int waiting = Math.max(0, grantedThreads - runningThreads);
        int wanted = waiting + GROWTH_STEP_THREADS + RESERVED_THREADS;
        int room = countStartableThreads(wanted);
        verifiedThreads = runningThreads + room - RESERVED_THREADS;
        if (room < wanted && !limited) {
            Log.warn(
                    "threads.limited",
                    "requests",
                    verifiedThreads / THREADS_PER_REQUEST,
                    "threads",
                    runningThreads + room);
        }
        limited = room < wanted;
        retryAtNanos = System.nanoTime() + LIMITED_RETRY_INTERVAL.toNanos();
    }

    /** How many of so many threads can be there at once; on the return none of them is left. */
    private int countStartableThreads(int wanted) {
        long before = ProcessUsage.threads();
        CountDownLatch over = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(wanted);
        int started = 0;
        while (started < wanted && starter.start("room", () -> awaitThenEnd(over, ended))) {
            started++;
        }
        over.countDown();
        for (int i = started; i < wanted; i++) {
            ended.countDown();
        }
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        awaitThreadExit(before);
        return started;
    }

    /** A thread that has done its work is the platform's for a moment more, and counts there. */
    private static void awaitThreadExit(long before) {
        for (int i = 0;
                i < MAX_START_ATTEMPTS
                        && ProcessUsage.threads() > before + UNRELATED_THREADS_TOLERANCE;
                i++) {
            if (!pause()) {
                return;
            }
        }
    }

    private static void awaitThenEnd(CountDownLatch over, CountDownLatch ended)
            throws InterruptedException {
        try {
            over.await();
        } finally {
            ended.countDown();
        }
    }
}
