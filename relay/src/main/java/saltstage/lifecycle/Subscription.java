package saltstage.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import saltstage.log.Log;
import saltstage.memory.Timers;
import saltstage.stage.Threads;
import saltstage.wire.DiscoveryClient;
import saltstage.wire.HostList;
import saltstage.wire.MalformedException;

/**
 * The relay's one subscription to discovery. A call that is not answered is not hung up on: where the service
 * works through calls in turn, it would be the last again, and the list would never come. It is not waited
 * for alone either: it may hang at a machine that is gone while the service could be reached. So another call
 * is made beside it; the first that tells something is the watch, and all others end.
 */
final class Subscription {
    /** A change counts as told after 6 s: this, the module's longest pause (3 s) and an answer fit in. */
    static final Duration UNANSWERED = Duration.ofMillis(1_250);
    /** An agent on the relay's machine answers at once, at no cost; what it has counts as told at once. */
    private static final Duration AGENT_UNANSWERED = Duration.ofMillis(500);
    private static final Duration AGENT_PAUSE = Duration.ofMillis(100);
    /** Each has a thread and a descriptor; where the service is asked the oldest has had over 6 s by then. */
    private static final int MOST_CALLS = 4;

    private final Timers timers;
    private final LongSupplier rev;
    private final Consumer<HostList> heard;
    private final Runnable refused;
    private final boolean pushed;
    private final Set<Call> calls = new LinkedHashSet<>(); // the oldest first
    private InetSocketAddress address;
    private Call newest;
    private Call watch;

    /** One call; unanswered for a while, it no longer keeps another from being made. */
    private static final class Call {
        final DiscoveryClient client;
        boolean passedOver;

        Call(DiscoveryClient client) {
            this.client = client;
        }
    }

    /**
     * A subscription at this address, resumed after the version that rev says. Refused is told when a call
     * has failed; where lists are pushed it is not, as the agent is asked again by itself.
     */
    Subscription(InetSocketAddress address, boolean pushed, Timers timers, LongSupplier rev,
            Consumer<HostList> heard, Runnable refused) {
        this.address = address;
        this.pushed = pushed;
        this.timers = timers;
        this.rev = rev;
        this.heard = heard;
        this.refused = refused;
    }

    /** Asks, unless a watch is open or a call has just begun; never blocks. */
    synchronized void ask() {
        if (watch != null || newest != null && !newest.passedOver) {
            return;
        }
        if (calls.size() >= MOST_CALLS) {
            end(calls.iterator().next());
        }
        Call call = new Call(new DiscoveryClient(address));
        calls.add(call);
        newest = call;
        if (!Threads.start("discovery", () -> run(call))) {
            calls.remove(call);
            newest = null;
            timers.after(UNANSWERED, this::ask);
            return;
        }
        timers.after(pushed ? AGENT_UNANSWERED : UNANSWERED, () -> unanswered(call));
    }

    /** Discovery is elsewhere from now on: what the old address still has to say is not heard any more. */
    synchronized void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        Set.copyOf(calls).forEach(this::end);
        newest = null;
        watch = null;
        ask();
    }

    synchronized InetSocketAddress address() {
        return address;
    }

    private void end(Call call) {
        calls.remove(call);
        newest = newest == call ? null : newest; // an ended call must not keep later ones from being made
        call.client.stop();
    }

    private void run(Call call) {
        String why = "fault";
        try {
            call.client.watch(rev.getAsLong(), list -> tells(call, list));
        } catch (IOException | MalformedException e) {
            why = String.valueOf(e.getMessage());
        } finally {
            ended(call, why);
        }
    }

    /** Whatever order answers come in, the list held is never replaced by an older one. */
    private synchronized void tells(Call call, HostList list) {
        if (!calls.contains(call)) {
            return; // ended, by a reload or by a call that was faster
        }
        if (watch != call) {
            watch = call;
            Set.copyOf(calls).stream().filter(other -> other != call).forEach(this::end);
        }
        if (list.rev() < rev.getAsLong()) {
            Log.warn("discovery.old", "rev", list.rev(), "held", rev.getAsLong());
            return;
        }
        heard.accept(list);
    }

    private void unanswered(Call call) {
        synchronized (this) {
            if (!calls.contains(call) || watch == call) {
                return;
            }
            call.passedOver = true;
        }
        lost("no answer yet");
    }

    private void ended(Call call, String why) {
        synchronized (this) {
            if (!calls.remove(call)) {
                return; // ended from here
            }
            boolean mattered = watch == call || watch == null && !call.passedOver;
            watch = watch == call ? null : watch;
            newest = newest == call ? null : newest;
            if (!mattered) {
                return;
            }
        }
        lost(why);
    }

    private void lost(String why) {
        Log.warn("discovery.lost", "why", why, "rev", rev.getAsLong());
        if (pushed) {
            timers.after(AGENT_PAUSE, this::ask);
        } else {
            refused.run();
        }
    }
}
