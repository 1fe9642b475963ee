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
 * The relay's one subscription to discovery. A call that is not answered in time is not ended: a
 * service that works through its calls in turn would put a new call last again, and no list would
 * ever arrive. The relay does not wait for that call alone either: the call may hang at a machine
 * that is gone while the service can be reached. So another call is made beside it; the first call
 * that delivers a list becomes the watch, and all others end.
 *
 * <p>{@link DiscoveryCalls} decides which calls are started and ended, and states the guarantees;
 * this class adds the lock, the threads and the timers.
 */
final class DiscoverySubscription {
    /**
     * How long a call may take to answer before another is made beside it. The relay counts as
     * knowing a change after 6 s: this time, the load balancer's longest pause (3 s) and an answer
     * fit into that.
     */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_250);

    /**
     * The same for an agent on the relay's machine: it answers at once and calls to it are cheap,
     * and the relay counts as knowing the agent's list at once.
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
     * Creates a subscription without a call; {@link #ask} makes the first one.
     *
     * @param address the address of discovery
     * @param pushed whether lists are pushed by an agent: then this class itself calls again after
     *     a failed call
     * @param timers runs time-outs and retries
     * @param heldRevision the revision of the list held, after which a call resumes
     * @param listener receives the lists, one at a time, none of them older than the one held
     * @param failureListener runs after each failed call where lists are not pushed; it has to call
     *     {@link #ask} later
     */
    DiscoverySubscription(
            InetSocketAddress address,
            boolean pushed,
            Timers timers,
            LongSupplier heldRevision,
            Consumer<BackendList> listener,
            Runnable failureListener) {
        this.address = address;
        this.pushed = pushed;
        this.timers = timers;
        this.heldRevision = heldRevision;
        this.listener = listener;
        this.failureListener = failureListener;
    }

    /** Starts a call, unless a watch is open or a call is awaited; never blocks. */
    void ask() {
        handle(DiscoveryCalls::ask);
    }

    /**
     * Calls discovery at another address from now on; after the return, nothing from the old
     * address is delivered.
     */
    synchronized void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        handle(DiscoveryCalls::addressChanged);
    }

    synchronized InetSocketAddress address() {
        return address;
    }

    /**
     * Applies an event. A loss is reported outside the lock, as the failure listener takes a lock
     * of its own.
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
        String reason = "fault";
        try {
            client.watch(heldRevision.getAsLong(), list -> listArrived(id, list));
        } catch (IOException | MalformedException e) {
            reason = String.valueOf(e.getMessage());
        } finally {
            callEnded(id, reason);
        }
    }

    private void listArrived(long id, BackendList list) {
        handle(calls -> calls.listArrived(id, list, heldRevision.getAsLong()));
    }

    /**
     * Delivers a list that the relay's other process has received, if it is newer than the held.
     */
    synchronized void listReceivedByOtherProcess(BackendList list) {
        if (list.revision() > heldRevision.getAsLong()) {
            listener.accept(list);
        }
    }

    private void callEnded(long id, String reason) {
        handle(
                calls -> {
                    clientsByCallId.remove(id);
                    return calls.callEnded(id, reason);
                });
    }

    private void reportLost(String reason) {
        Log.warn("discovery.lost", "why", reason, "rev", heldRevision.getAsLong());
        if (pushed) {
            timers.schedule(AGENT_RETRY_PAUSE, this::ask);
        } else {
            failureListener.run();
        }
    }
}
