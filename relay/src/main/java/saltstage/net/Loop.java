package saltstage.net;

import java.time.Duration;

/** An event loop: one thread that runs all events and tasks of its connections in sequence. */
public interface Loop {
    /** A task scheduled for later. */
    interface Timer {
        /** Cancels the task. Returns false if it has run or was cancelled already. */
        boolean cancel();
    }

    /** Whether the caller runs on this loop. */
    boolean isCurrentThread();

    /** Runs the task on the loop, after all tasks that were submitted before. */
    void execute(Runnable task);

    /** Runs the task on the loop once, after the delay. */
    Timer schedule(Duration delay, Runnable task);
}
