package saltstage.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Work on several things at once. */
final class Parallel {
    private Parallel() {}

    /** What is done with one of them. */
    interface Task<T> {
        void run(T each) throws Exception;
    }

    /** Each on a thread of its own; ends when all have, with the first failure if there is one. */
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
