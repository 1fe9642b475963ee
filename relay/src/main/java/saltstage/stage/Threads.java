package saltstage.stage;

import saltstage.log.Log;

/**
 * Starts platform threads with small stacks. A fault in one of them is logged and does not end the
 * relay.
 */
public final class Threads {
    /**
     * Stack size of a thread. Each connection has two threads, and the usual stack of a megabyte
     * would be address space that is never used.
     */
    private static final long STACK_BYTES = 256 << 10;

    private Threads() {}

    /** The work of a thread. */
    public interface Work {
        /** Does the work; the starter of the thread logs an exception. */
        void run() throws Exception;
    }

    /** Starts a thread; returns false and logs a warning if the machine has no thread left. */
    public static boolean start(String name, Work work) {
        boolean started = tryStart(name, work);
        if (!started) {
            Log.warn("threads.exhausted", "thread", name);
        }
        return started;
    }

    /** Starts a thread; returns false if the machine has no thread left. */
    static boolean tryStart(String name, Work work) {
        try {
            Thread thread = new Thread(null, () -> runGuarded(name, work), name, STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
            return true;
        } catch (OutOfMemoryError e) { // thrown by the JVM when the system refuses it a thread
            return false;
        }
    }

    /** Starts a thread that repeats the work forever, even if a round throws an exception. */
    public static void startLoop(String name, Work work) {
        if (!start(name, () -> runRepeatedly(name, work))) {
            throw new IllegalStateException("no thread for " + name);
        }
    }

    private static void runRepeatedly(String name, Work work) throws InterruptedException {
        while (true) {
            try {
                work.run();
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception | OutOfMemoryError | StackOverflowError fault) {
                Log.error("thread.fault." + name, fault);
                Thread.sleep(50); // a lasting fault must not use up the only core
            }
        }
    }

    private static void runGuarded(String name, Work work) {
        try {
            work.run();
        } catch (Throwable fault) { // the last guard: the thread ends, but the relay does not
            Log.error("thread.fault", fault);
        }
    }
}
