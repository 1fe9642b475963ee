package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs a task for several items in parallel. */
final class Parallel {
    private Parallel() {}

    /** A task that processes one item and may throw any exception. */
    interface Task<T> {
        void run(T each) throws Exception;
    }

    /**
     * Runs the task for each item on its own thread and waits for all of them. Throws the failure
     * of the first item in list order that failed, after it has interrupted the tasks still
     * running.
     */
    static <T> void forEach(List<T> things, Task<T> work)
            throws InterruptedException, ExecutionException {
        ExecutorService threads = Executors.newFixedThreadPool(things.size());
        try {
            List<Future<?>> parts = new ArrayList<>();
            for (T thing : things) {
                parts.add(
                        threads.submit(
                                () -> {
                                    work.run(thing);
                                    return null;
                                }));
            }
            for (Future<?> part : parts) {
                part.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
