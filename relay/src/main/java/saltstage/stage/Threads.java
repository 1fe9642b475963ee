package saltstage.stage;

import saltstage.log.Log;

/** Platform threads with small stacks; none of them ends the relay, or ends unseen. */
public final class Threads {
    /**
     * Two threads stand for each connection: the usual megabyte each is address space that nothing
     * uses.
     */
    private static final long STACK_BYTES = 256 << 10;

    private Threads() {}

    /** What a thread does. */
    public interface Work {
        /** Does it. */
        void run() throws Exception;
    }

    /** Starts a thread; false, and a line in the log, where the machine has none left. */
    public static boolean start(String name, Work work) {
        boolean started = tryStart(name, work);
        if (!started) {
            Log.warn("threads.exhausted", "thread", name);
        }
        return started;
    }

    /** Starts a thread; false where the machine has none left. */
    static boolean tryStart(String name, Work work) {
        try {
            Thread thread = new Thread(null, () -> runGuarded(name, work), name, STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
            return true;
        } catch (OutOfMemoryError none) { // what the JVM says when the system refuses it a thread
            return false;
        }
    }

    /** Starts a thread that does the work over and over, whatever a single round throws. */
    public static void startLoop(String name, Work round) {
        if (!start(name, () -> runRepeatedly(name, round))) {
            throw new IllegalStateException("no thread for " + name);
        }
    }

    private static void runRepeatedly(String name, Work round) throws InterruptedException {
        while (true) {
            try {
                round.run();
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception | OutOfMemoryError | StackOverflowError fault) {
                Log.error("thread.fault." + name, fault);
                Thread.sleep(50); // a fault that stays must not eat the one core
            }
        }
    }

    private static void runGuarded(String name, Work work) {
        try {
            work.run();
        } catch (Throwable fault) { // the last guard: the thread ends, the relay does not
            Log.error("thread.fault", fault);
        }
    }
}
