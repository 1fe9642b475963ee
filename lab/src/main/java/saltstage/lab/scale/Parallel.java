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
        void run(T item) throws Exception;
    }

    /**
     * Runs the task for each item on its own thread and waits for all of them. Throws the failure
     * of the first item in list order that failed, after it has interrupted the tasks still
     * running.
     */
    static <T> void forEach(List<T> items, Task<T> task)
            throws InterruptedException, ExecutionException {
        ExecutorService executor = Executors.newFixedThreadPool(items.size());
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (T item : items) {
                futures.add(
                        executor.submit(
                                () -> {
                                    task.run(item);
                                    return null;
                                }));
            }
            for (Future<?> future : futures) {
                future.get();
            }
        } finally {
            executor.shutdownNow();
        }
    }
}
