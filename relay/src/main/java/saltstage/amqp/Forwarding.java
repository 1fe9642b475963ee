package saltstage.amqp;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * The deliveries of one sending client, on their way to the backend where its link stands: in
 * order, each unsettled one owed exactly one outcome. Where the backend is lost, those that may be
 * repeated wait for the next one. Free of I/O, threads and clocks: times come with the calls, what
 * is to be done goes to the two sides. All bounds hold here: deliveries without an outcome, bytes
 * held, tries, time.
 */
final class Forwarding {
    /** The client's side. */
    interface Client {
        /** So many more deliveries are welcome. */
        void grant(int more);

        /** The one outcome of a delivery. */
        void outcome(Delivery delivery, DeliveryState state, boolean settled);
    }

    /** The backend's side, while there is one. */
    interface Backend {
        /** Whether a piece would be taken now: credit, window, room on the connection. */
        boolean sendable();

        /**
         * Sends a piece from an offset on, with which the delivery may end; returns the bytes
         * taken.
         */
        int stream(Delivery delivery, byte[] piece, int from, boolean last);

        /** Takes back a delivery that was begun and not ended. */
        void abort(Delivery delivery);

        /** The client's side has settled, or has given up; state may be null. */
        void settle(Delivery delivery, DeliveryState state);
    }

    /** The bounds; see {@link saltstage.config.AmqpSettings}. */
    record Bounds(int unsettled, int heldBytes, int repeatBytes, int tries, Duration within) {}

    /** One delivery. */
    static final class Delivery {
        private final Object clients;
        private final boolean settled;
        private final List<byte[]> pieces = new ArrayList<>();
        private Object backends;
        private int held;
        private int piece;
        private int offset;
        private boolean whole;
        private boolean begun;
        private boolean everBegun;
        private boolean sent;
        private boolean dropped;
        private boolean answered;
        private int tries;
        private Instant until;
        private Instant sentAt;

        Delivery(Object clients, boolean settled) {
            this.clients = clients;
            this.settled = settled;
        }

        /** What the client's side knows it by. */
        Object clients() {
            return clients;
        }

        /** What the backend's side knows it by, once begun there. */
        Object backends() {
            return backends;
        }

        /** When its last byte went to the present backend, or null. */
        Instant sentAt() {
            return sentAt;
        }

        /** Its last byte has gone. */
        void sentAt(Instant at) {
            sentAt = at;
        }

        /** The backend's side names it. */
        void backends(Object name) {
            backends = name;
        }

        /** Whether its sender wants no outcome. */
        boolean settled() {
            return settled;
        }

        /** Whether its one outcome was given, or none is owed any more. */
        boolean answered() {
            return answered;
        }
    }

    private final Bounds bounds;
    private final boolean repeatable;
    private final Client client;

    /** Not wholly sent to the present backend, in order. */
    private final Deque<Delivery> waiting = new ArrayDeque<>();

    /** Sent and without an outcome, in order. */
    private final Set<Delivery> sent = new LinkedHashSet<>();

    private Backend backend;
    private int backendCredit;
    private int granted;
    private int held;
    private boolean ending;
    private boolean over;

    /** Deliveries of a class that may, or may not, be repeated. */
    Forwarding(Bounds bounds, boolean repeatable, Client client) {
        this.bounds = bounds;
        this.repeatable = repeatable;
        this.client = client;
    }

    /** The link stands at a backend. */
    void stands(Backend at) {
        backend = at;
        backendCredit = 0;
    }

    /**
     * The backend has room for so many deliveries in all; called also where it has room for bytes
     * again.
     */
    void credit(int credit) {
        backendCredit = credit;
        pump();
    }

    /** A delivery begins. False where its sender had no credit for it. */
    boolean begins(Delivery delivery) {
        if (granted == 0) {
            return false;
        }
        granted--;
        waiting.add(delivery);
        return true;
    }

    /** Bytes of it have come; whole: it ends with them. */
    void came(Delivery delivery, byte[] bytes, boolean whole, Instant now) {
        if (delivery.answered) {
            return;
        }
        if (bytes.length > 0) {
            delivery.pieces.add(bytes);
            delivery.held += bytes.length;
            held += bytes.length;
        }
        if (whole) {
            delivery.whole = true;
            delivery.until = now.plus(bounds.within());
        }
        if (over) {
            giveUp(delivery);
        } else {
            pump();
        }
    }

    /** Its sender has taken it back before its end: it is owed nothing. */
    void aborted(Delivery delivery) {
        if (delivery.answered) {
            return;
        }
        delivery.answered = true;
        abandon(delivery);
        forget(delivery);
        pump();
    }

    /** The backend has given an outcome, or settled. */
    void outcome(Delivery delivery, DeliveryState state, boolean settled) {
        if (delivery.answered || backend == null) {
            return;
        }
        delivery.answered = true;
        client.outcome(delivery, state, settled);
        if (!delivery.sent) {
            abandon(delivery); // refused while its bytes still came: the rest goes nowhere
        }
        forget(delivery);
        pump();
    }

    /**
     * The backend is lost. What may run once more waits for the next backend, in its old order;
     * what may not, was too large to keep or has been tried often enough is answered now.
     */
    void lost() {
        backend = null;
        backendCredit = 0;
        for (Delivery delivery : all()) {
            boolean again =
                    !delivery.everBegun
                            || repeatable && !delivery.dropped && delivery.tries < bounds.tries();
            if (delivery.settled && delivery.everBegun) {
                again = false; // owed nothing, and perhaps there already
            }
            if (again) {
                delivery.begun = false;
                delivery.sent = false;
                delivery.backends = null;
                delivery.piece = 0;
                delivery.offset = 0;
            } else {
                giveUp(delivery);
            }
        }
        List<Delivery> left = all();
        sent.clear();
        waiting.clear();
        waiting.addAll(left);
    }

    /** What was sent goes before what waits: the order in which they came. */
    private List<Delivery> all() {
        List<Delivery> all = new ArrayList<>(sent);
        all.addAll(waiting);
        return all;
    }

    /** No backend will be had any more: each is answered by what is known of it. */
    void end() {
        ending = true;
        over = true;
        all().forEach(this::giveUp);
    }

    /** The client has left: it is owed nothing, and what was only begun is taken back. */
    void left() {
        ending = true;
        for (Delivery delivery : all()) {
            delivery.answered = true;
            if (!delivery.sent) {
                abandon(delivery);
            }
            forget(delivery);
        }
    }

    /** Its sender has let go of what it was still welcome to send. */
    void letGo() {
        granted = 0;
    }

    /** How many are not wholly sent on. */
    int waiting() {
        return waiting.size();
    }

    /** From now on no more are welcome; those that are here go on. */
    void stop() {
        ending = true;
    }

    /** Gives up what has waited for too long; returns how many. */
    int expire(Instant now) {
        int expired = 0;
        for (Delivery delivery : all()) {
            if (delivery.until == null || now.isBefore(delivery.until)) {
                break; // later ones came whole later
            }
            giveUp(delivery);
            expired++;
        }
        return expired;
    }

    /**
     * Failed where it may have run; where no byte has left the relay it is handed back as it was.
     */
    private void giveUp(Delivery delivery) {
        if (delivery.answered) {
            return;
        }
        delivery.answered = true;
        if (!delivery.settled) {
            client.outcome(
                    delivery,
                    delivery.everBegun ? new Modified(true, false) : Released.getInstance(),
                    true);
        }
        abandon(delivery);
        forget(delivery);
    }

    private void abandon(Delivery delivery) {
        if (backend == null || !delivery.begun) {
            return;
        }
        if (delivery.sent) {
            backend.settle(delivery, null);
        } else {
            backend.abort(delivery);
        }
    }

    private void forget(Delivery delivery) {
        held -= delivery.held;
        delivery.held = 0;
        delivery.pieces.clear();
        if (!sent.remove(delivery)) {
            waiting.remove(delivery);
        }
    }

    /** Sends on what may go, in order, and welcomes as many more as the backend has room for. */
    void pump() {
        while (backend != null && !waiting.isEmpty() && send(waiting.peek())) {
            Delivery through = waiting.poll();
            if (through != null && !through.answered) {
                sent.add(through);
            }
        }
        welcome();
    }

    /**
     * Sends what has come of it; false where it is not through yet, so that no later one may go.
     */
    private boolean send(Delivery delivery) {
        while (true) {
            boolean more = delivery.piece < delivery.pieces.size();
            if (!more && !(delivery.whole && !delivery.sent) || !backend.sendable()) {
                return false;
            }
            if (!delivery.begun) {
                delivery.begun = true;
                delivery.everBegun = true;
                delivery.tries++;
            }
            boolean last = delivery.whole && delivery.piece >= delivery.pieces.size() - 1;
            byte[] piece = more ? delivery.pieces.get(delivery.piece) : new byte[0];
            delivery.offset += backend.stream(delivery, piece, delivery.offset, last);
            if (delivery.offset < piece.length) {
                return false;
            }
            delivery.offset = 0;
            if (more) { // else its end came without bytes
                delivery.piece++;
                drop(delivery);
            }
            if (last) {
                delivery.sent = true;
                backendCredit--;
                if (delivery.settled) {
                    delivery.answered = true; // nothing is owed
                    held -= delivery.held;
                }
                return true;
            }
        }
    }

    /** What is too large to be kept is only passed through: what has gone on is let go. */
    private void drop(Delivery delivery) {
        if (!repeatable || delivery.dropped || delivery.held > bounds.repeatBytes()) {
            delivery.dropped = true;
            int freed = 0;
            for (int i = 0; i < delivery.piece; i++) {
                freed += delivery.pieces.get(i).length;
            }
            delivery.pieces.subList(0, delivery.piece).clear();
            delivery.piece = 0;
            delivery.held -= freed;
            held -= freed;
        }
    }

    private void welcome() {
        if (ending || backend == null) {
            return;
        }
        int target = Math.min(bounds.unsettled() - size(), backendCredit - waiting.size());
        int more = target - granted;
        if (more > 0 && granted <= target / 2) {
            granted += more;
            client.grant(more);
        }
    }

    /** Whether more bytes should be read from the client; what is not read holds its session up. */
    boolean wantsBytes() {
        return held < bounds.heldBytes();
    }

    /** How many are owed an outcome. */
    int owed() {
        return sent.size() + (int) waiting.stream().filter(d -> !d.settled).count();
    }

    /** How many are here, in whatever state. */
    int size() {
        return sent.size() + waiting.size();
    }

    /** Bytes held for this link. */
    int held() {
        return held;
    }

    /** How many more its sender may send by what it was told. */
    int granted() {
        return granted;
    }
}
