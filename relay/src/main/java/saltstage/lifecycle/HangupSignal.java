package saltstage.lifecycle;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP from the start of the process on. The JVM's default handler would end the process
 * and all its connections. A signal that arrives while the relay is still starting stays pending
 * until a handler is set.
 */
final class HangupSignal {
    private Runnable handler;
    private boolean pending;
    private boolean ignored;

    /** Replaces the JVM's handler. */
    void install() {
        SignalHandler before = Signal.handle(new Signal("HUP"), hangup -> signalReceived());
        ignored = before == SignalHandler.SIG_IGN;
    }

    /**
     * Whether the process was started with SIGHUP ignored, as under nohup: the JVM then never
     * receives the signal.
     */
    boolean isIgnored() {
        return ignored;
    }

    private void signalReceived() {
        Runnable todo;
        synchronized (this) {
            todo = handler;
            pending |= todo == null;
        }
        if (todo != null) {
            todo.run();
        }
    }

    /** Sets the handler of the signal, and runs it now if a signal is pending. */
    void setHandler(Runnable does) {
        synchronized (this) {
            handler = does;
            if (!pending) {
                return;
            }
        }
        does.run();
    }
}
