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
        SignalHandler previousHandler =
                Signal.handle(new Signal("HUP"), signal -> signalReceived());
        ignored = previousHandler == SignalHandler.SIG_IGN;
    }

    /**
     * Whether the process was started with SIGHUP ignored, as under nohup: the JVM then never
     * receives the signal.
     */
    boolean isIgnored() {
        return ignored;
    }

    private void signalReceived() {
        Runnable current;
        synchronized (this) {
            current = handler;
            pending |= current == null;
        }
        if (current != null) {
            current.run();
        }
    }

    /** Sets the handler of the signal, and runs it now if a signal is pending. */
    void setHandler(Runnable newHandler) {
        synchronized (this) {
            handler = newHandler;
            if (!pending) {
                return;
            }
        }
        newHandler.run();
    }
}
