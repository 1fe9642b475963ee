package saltstage.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that use up all threads of a platform with a thread limit, so that none
 * is left for signals and the relay's own calls.
 */
@Timeout(30)
class ThreadBudgetTest {
    private static final int PLATFORM_THREADS = 100;

    private final Semaphore platformThreads = new Semaphore(PLATFORM_THREADS);
    private final CountDownLatch requestsEnd = new CountDownLatch(1);
    private final ThreadBudget budget = new ThreadBudget(this::start);

    private boolean start(String name, Threads.Work work) {
        if (!platformThreads.tryAcquire()) {
            return false;
        }
        return Threads.tryStart(
                name,
                () -> {
                    try {
                        work.run();
                    } finally {
                        platformThreads.release();
                    }
                });
    }

    private int admitAll() throws InterruptedException {
        int admitted = 0;
        while (budget.tryAcquire()) {
            admitted++;
            for (int i = 0; i < ThreadBudget.THREADS_PER_REQUEST; i++) {
                assertTrue(
                        budget.start("request", requestsEnd::await),
                        "an acquired thread can be started");
            }
            int running = admitted * ThreadBudget.THREADS_PER_REQUEST;
            while (budget.runningThreads() < running) {
                Thread.onSpinWait();
            }
        }
        return admitted;
    }

    @Test
    void requestsNeverUseTheReservedThreads() throws Exception {
        int admitted = admitAll();
        assertEquals(
                (PLATFORM_THREADS - ThreadBudget.RESERVED_THREADS)
                        / ThreadBudget.THREADS_PER_REQUEST,
                admitted);
        assertEquals(ThreadBudget.RESERVED_THREADS, platformThreads.availablePermits());
        requestsEnd.countDown();
    }

    @Test
    void requestsAcquiredButNotStartedYetKeepTheirThreads() {
        int admitted = 0;
        while (budget.tryAcquire()) {
            admitted++;
        }
        assertEquals(
                (PLATFORM_THREADS - ThreadBudget.RESERVED_THREADS)
                        / ThreadBudget.THREADS_PER_REQUEST,
                admitted);
    }

    @Test
    void threadStartIsRetriedAfterATemporaryFailure() throws Exception {
        assertTrue(budget.tryAcquire());
        platformThreads.drainPermits();
        CountDownLatch ran = new CountDownLatch(1);
        Threads.tryStart(
                "release",
                () -> {
                    Thread.sleep(20);
                    platformThreads.release(PLATFORM_THREADS);
                });
        assertTrue(budget.start("request", ran::countDown));
        ran.await();
    }

    @Test
    void requestThatEndsMakesRoomForTheNext() throws Exception {
        admitAll();
        assertFalse(budget.tryAcquire());
        budget.release();
        assertTrue(budget.tryAcquire());
        requestsEnd.countDown();
    }
}
