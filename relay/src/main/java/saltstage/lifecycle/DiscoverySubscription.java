package saltstage.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.lifecycle.DiscoveryCalls.Step;
import saltstage.log.Log;
import saltstage.session.Timers;
import saltstage.stage.Threads;
import saltstage.wire.BackendList;
import saltstage.wire.DiscoveryClient;
import saltstage.wire.MalformedException;

/**
 * The relay's one subscription to discovery. A call that is not answered is not hung up on: where
 * the service works through calls in turn, it would be the last again, and the list would never
 * come. It is not waited for alone either: it may hang at a machine that is gone while the service
 * could be reached. So another call is made beside it; the first that delivers a list is the watch,
 * and all others end.
 *
 * <p>What happens to which call is decided by {@link DiscoveryCalls}, which states what is
 * guaranteed; this class has the lock, the threads and the timers.
 */
final class DiscoverySubscription {
    /**
     * A change counts as told after 6 s: this, the module's longest pause (3 s) and an answer fit
     * in.
     */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_250);

    /**
     * An agent on the relay's machine answers at once, at no cost; what it has counts as told at
     * once.
     */
    private static final Duration AGENT_ANSWER_TIMEOUT = Duration.ofMillis(500);

    private static final Duration AGENT_RETRY_PAUSE = Duration.ofMillis(100);

    private final Timers timers;
    private final LongSupplier heldRevision;
    private final Consumer<BackendList> listener;
    private final Runnable failureListener;
    private final boolean pushed;
    private final Map<Long, DiscoveryClient> clientsByCallId = new HashMap<>();
    private InetSocketAddress address;
    private DiscoveryCalls calls = DiscoveryCalls.none();

    /**
     * A subscription that has not asked yet.
     *
     * @param address where discovery is
     * @param pushed whether lists are pushed by an agent: it is asked again from here after a
     *     failed call
     * @param timers when something is due later
     * @param heldRevision the version of the list held, after which a call resumes
     * @param listener takes the lists, one at a time, none of them older than the one held
     * @param refused told of each failed call where lists are not pushed; it sees to {@link #ask}
     */
    DiscoverySubscription(
            InetSocketAddress address,
            boolean pushed,
            Timers timers,
            LongSupplier heldRevision,
            Consumer<BackendList> listener,
            Runnable refused) {
        this.address = address;
        this.pushed = pushed;
        this.timers = timers;
        this.heldRevision = heldRevision;
        this.listener = listener;
        this.failureListener = refused;
    }

    /** Asks, unless a watch is open or a call is awaited; never blocks. */
    void ask() {
        handle(DiscoveryCalls::ask);
    }

    /**
     * Discovery is elsewhere from now on: nothing from the old address is delivered after the
     * return.
     */
    synchronized void changeAddress(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        handle(DiscoveryCalls::addressChanged);
    }

    synchronized InetSocketAddress address() {
        return address;
    }

    /**
     * Takes an event in; a loss is reported without the lock, as the listener of it takes its own.
     */
    private void handle(Function<DiscoveryCalls, Step> event) {
        Step step;
        synchronized (this) {
            step = event.apply(calls);
            calls = step.next();
            step.effects().forEach(this::perform);
        }
        step.lossReason().ifPresent(this::reportLost);
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.StartCall start) {
            start(start.id());
        } else if (effect instanceof Effect.EndCall end) {
            clientsByCallId.remove(end.id()).stop();
        } else if (effect instanceof Effect.DeliverList deliver) {
            listener.accept(deliver.list());
        } else if (effect instanceof Effect.DropOldList drop) {
            Log.warn(
                    "discovery.old",
                    "rev",
                    drop.list().revision(),
                    "held",
                    heldRevision.getAsLong());
        } else {
            timers.schedule(ANSWER_TIMEOUT, this::ask);
        }
    }

    private void start(long id) {
        DiscoveryClient client = new DiscoveryClient(address);
        clientsByCallId.put(id, client);
        if (!Threads.start("discovery", () -> run(id, client))) {
            clientsByCallId.remove(id);
            handle(calls -> calls.startFailed(id));
            return;
        }
        timers.schedule(
                pushed ? AGENT_ANSWER_TIMEOUT : ANSWER_TIMEOUT,
                () -> handle(calls -> calls.answerTimedOut(id)));
    }

    private void run(long id, DiscoveryClient client) {
        String why = "fault";
        try {
            client.watch(heldRevision.getAsLong(), list -> listArrived(id, list));
        } catch (IOException | MalformedException e) {
            why = String.valueOf(e.getMessage());
        } finally {
            callEnded(id, why);
        }
    }

    private void listArrived(long id, BackendList list) {
        handle(calls -> calls.listArrived(id, list, heldRevision.getAsLong()));
    }

    private void callEnded(long id, String why) {
        handle(
                calls -> {
                    clientsByCallId.remove(id);
                    return calls.callEnded(id, why);
                });
    }

    private void reportLost(String why) {
        Log.warn("discovery.lost", "why", why, "rev", heldRevision.getAsLong());
        if (pushed) {
            timers.schedule(AGENT_RETRY_PAUSE, this::ask);
        } else {
            failureListener.run();
        }
    }
}
