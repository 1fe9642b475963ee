package saltstage.lifecycle;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, from the process's first moment on. The JVM's own handler ends the process, and all
 * connections with it; one that comes while the relay still starts is kept until it can be obeyed.
 */
final class HangupSignal {
    private Runnable handler;
    private boolean pending;
    private boolean ignored;

    /** Catches them from now on. */
    void install() {
        SignalHandler before = Signal.handle(new Signal("HUP"), hangup -> signalReceived());
        ignored = before == SignalHandler.SIG_IGN;
    }

    /**
     * Whether the process was started with SIGHUP ignored, as under nohup: the JVM then never hears
     * one.
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

    /** What each of them does from now on; if any came before, it is done now. */
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
