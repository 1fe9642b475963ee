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
    static final int RESERVE = 24;

    /** How much more room is proven at a time. */
    private static final int STEP = 32;

    /** A refusal that lasts this often as long as the pause is none of a moment. */
    private static final int ATTEMPTS = 50;

    private static final Duration PAUSE = Duration.ofMillis(2);

    /** Other threads may have begun meanwhile. */
    private static final int REAPED_BUT = 4;

    /** A platform that has refused a thread is not tried again sooner. */
    private static final Duration RETRY = Duration.ofSeconds(1);

    private final Starter starter;
    private int granted;
    private int running;
    private int proven;
    private boolean limited;
    private long retryAt;

    /** Starts a thread, as {@link Threads#start} does. */
    interface Starter {
        /** False where the machine has no thread left. */
        boolean start(String name, Threads.Work work);
    }

    ThreadBudget(Starter starter) {
        this.starter = starter;
    }

    /**
     * Takes the threads of one request; false where the platform has no room for them beside the
     * reserve.
     */
    synchronized boolean tryAcquire() {
        if (granted + THREADS_PER_REQUEST > proven
                && (!limited || System.nanoTime() - retryAt >= 0)) {
            prove();
        }
        if (granted + THREADS_PER_REQUEST > proven) {
            return false;
        }
        granted += THREADS_PER_REQUEST;
        return true;
    }

    /** Gives the threads of one request back. */
    synchronized void release() {
        granted -= THREADS_PER_REQUEST;
    }

    /**
     * Starts a thread of a request that has acquired it; what is refused for a moment is tried
     * again.
     */
    boolean start(String name, Threads.Work work) {
        count(1);
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (starter.start(name, () -> runThenCount(work))) {
                return true;
            }
            if (!pause()) {
                break;
            }
        }
        count(-1);
        Log.warn("threads.exhausted", "thread", name);
        return false;
    }

    private void runThenCount(Threads.Work work) throws Exception {
        try {
            work.run();
        } finally {
            count(-1);
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(PAUSE.toMillis());
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private synchronized void count(int more) {
        running += more;
    }

    /** How many threads requests have now. */
    synchronized int running() {
        return running;
    }

    private void prove() {
        int waiting = Math.max(0, granted - running);
        int wanted = waiting + STEP + RESERVE;
        int room = startTogether(wanted);
        proven = running + room - RESERVE;
        if (room < wanted && !limited) {
            Log.warn(
                    "threads.limited",
                    "requests",
                    proven / THREADS_PER_REQUEST,
                    "threads",
                    running + room);
        }
        limited = room < wanted;
        retryAt = System.nanoTime() + RETRY.toNanos();
    }

    /** How many of so many threads can be there at once; on the return none of them is left. */
    private int startTogether(int wanted) {
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
        awaitReaped(before);
        return started;
    }

    /** A thread that has done its work is the platform's for a moment more, and counts there. */
    private static void awaitReaped(long before) {
        for (int i = 0; i < ATTEMPTS && ProcessUsage.threads() > before + REAPED_BUT; i++) {
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
