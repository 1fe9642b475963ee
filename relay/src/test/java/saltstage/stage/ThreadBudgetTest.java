package saltstage.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests before a platform that gives so many threads and no more. */
@Timeout(30)
class ThreadBudgetTest {
    private static final int PLATFORM = 100;

    private final Semaphore platform = new Semaphore(PLATFORM);
    private final CountDownLatch over = new CountDownLatch(1);
    private final ThreadBudget budget = new ThreadBudget(this::start);

    private boolean start(String name, Threads.Work work) {
        if (!platform.tryAcquire()) {
            return false;
        }
        return Threads.tryStart(
                name,
                () -> {
                    try {
                        work.run();
                    } finally {
                        platform.release();
                    }
                });
    }

    private int admitAll() throws InterruptedException {
        int admitted = 0;
        while (budget.tryAcquire()) {
            admitted++;
            for (int i = 0; i < ThreadBudget.THREADS_PER_REQUEST; i++) {
                assertTrue(budget.start("request", over::await), "what was acquired is there");
            }
            int running = admitted * ThreadBudget.THREADS_PER_REQUEST;
            while (budget.running() < running) {
                Thread.onSpinWait();
            }
        }
        return admitted;
    }

    @Test
    void requestsNeverTakeTheThreadsThatAreKeptForSignals() throws Exception {
        int admitted = admitAll();
        assertEquals(
                (PLATFORM - ThreadBudget.RESERVE) / ThreadBudget.THREADS_PER_REQUEST, admitted);
        assertEquals(ThreadBudget.RESERVE, platform.availablePermits());
        over.countDown();
    }

    @Test
    void requestsAcquiredButNotStartedYetKeepTheirThreads() {
        int admitted = 0;
        while (budget.tryAcquire()) {
            admitted++;
        }
        assertEquals(
                (PLATFORM - ThreadBudget.RESERVE) / ThreadBudget.THREADS_PER_REQUEST, admitted);
    }

    @Test
    void threadThatIsRefusedForAMomentIsStartedAllTheSame() throws Exception {
        assertTrue(budget.tryAcquire());
        platform.drainPermits();
        CountDownLatch ran = new CountDownLatch(1);
        Threads.tryStart(
                "release",
                () -> {
                    Thread.sleep(20);
                    platform.release(PLATFORM);
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
        over.countDown();
    }
}
