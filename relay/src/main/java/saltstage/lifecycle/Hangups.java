package saltstage.lifecycle;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, from the process's first moment on. The JVM's own handler ends the process, and all
 * connections with it; one that comes while the relay still starts is kept until it can be obeyed.
 */
final class Hangups {
    private Runnable reload;
    private boolean early;
    private boolean ignored;

    /** Catches them from now on. */
    void begin() {
        SignalHandler before = Signal.handle(new Signal("HUP"), hangup -> come());
        ignored = before == SignalHandler.SIG_IGN;
    }

    /**
     * Whether the process was started with SIGHUP ignored, as under nohup: the JVM then never hears
     * one.
     */
    boolean ignored() {
        return ignored;
    }

    private void come() {
        Runnable todo;
        synchronized (this) {
            todo = reload;
            early |= todo == null;
        }
        if (todo != null) {
            todo.run();
        }
    }

    /** What each of them does from now on; if any came before, it is done now. */
    void obey(Runnable does) {
        synchronized (this) {
            reload = does;
            if (!early) {
                return;
            }
        }
        does.run();
    }
}
