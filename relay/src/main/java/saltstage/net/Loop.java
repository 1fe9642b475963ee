package saltstage.net;

import java.time.Duration;

/** One thread that does everything of its connections, one thing after the other. */
public interface Loop {
    /** Something that is due later. */
    interface Timer {
        /** Keeps it from happening; false where it has happened or was cancelled already. */
        boolean cancel();
    }

    /** Whether the caller is on this loop. */
    boolean isCurrentThread();

    /** Does it on the loop, soon, after what was handed over before. */
    void execute(Runnable task);

    /** Does it on the loop once, that much later. */
    Timer schedule(Duration delay, Runnable task);
}
