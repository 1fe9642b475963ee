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
final class DeliveryForwarder {
    /** The client's side. */
    interface ClientEndpoint {
        /** So many more deliveries are welcome. */
        void grantCredit(int more);

        /** The one outcome of a delivery. */
        void sendOutcome(Delivery delivery, DeliveryState state, boolean settled);
    }

    /** The backend's side, while there is one. */
    interface BackendEndpoint {
        /** Whether a piece would be taken now: credit, window, room on the connection. */
        boolean canSend();

        /**
         * Sends a piece from an offset on, with which the delivery may end; returns the bytes
         * taken.
         */
        int send(Delivery delivery, byte[] piece, int from, boolean last);

        /** Takes back a delivery that was begun and not ended. */
        void abort(Delivery delivery);

        /** The client's side has settled, or has given up; state may be null. */
        void settle(Delivery delivery, DeliveryState state);
    }

    /** The bounds; see {@link saltstage.config.AmqpSettings}. */
    record Limits(
            int maxUnsettled,
            int maxBufferedBytes,
            int maxRetainedDeliveryBytes,
            int maxAttempts,
            Duration deliveryTimeout) {}

    /** One delivery. */
    static final class Delivery {
        private final Object clientDelivery;
        private final boolean presettled;
        private final List<byte[]> chunks = new ArrayList<>();
        private Object backendDelivery;
        private int bufferedBytes;
        private int nextChunk;
        private int nextChunkOffset;
        private boolean fullyReceived;
        private boolean started;
        private boolean everStarted;
        private boolean fullySent;
        private boolean discardingSent;
        private boolean completed;
        private int attempts;
        private Instant deadline;
        private Instant sentAt;

        Delivery(Object clients, boolean settled) {
            this.clientDelivery = clients;
            this.presettled = settled;
        }

        /** What the client's side knows it by. */
        Object clientDelivery() {
            return clientDelivery;
        }

        /** What the backend's side knows it by, once begun there. */
        Object backendDelivery() {
            return backendDelivery;
        }

        /** When its last byte went to the present backend, or null. */
        Instant sentAt() {
            return sentAt;
        }

        /** Its last byte has gone. */
        void setSentAt(Instant at) {
            sentAt = at;
        }

        /** The backend's side names it. */
        void setBackendDelivery(Object name) {
            backendDelivery = name;
        }

        /** Whether its sender wants no outcome. */
        boolean isPresettled() {
            return presettled;
        }

        /** Whether its one outcome was given, or none is owed any more. */
        boolean isCompleted() {
            return completed;
        }
    }

    private final Limits limits;
    private final boolean idempotent;
    private final ClientEndpoint client;

    /** Not wholly sent to the present backend, in order. */
    private final Deque<Delivery> unsent = new ArrayDeque<>();

    /** Sent and without an outcome, in order. */
    private final Set<Delivery> awaitingOutcome = new LinkedHashSet<>();

    private BackendEndpoint backend;
    private int backendCredit;
    private int grantedCredit;
    private int bufferedBytes;
    private boolean creditStopped;
    private boolean ended;

    /** Deliveries of a class that may, or may not, be repeated. */
    DeliveryForwarder(Limits bounds, boolean repeatable, ClientEndpoint client) {
        this.limits = bounds;
        this.idempotent = repeatable;
        this.client = client;
    }

    /** The link stands at a backend. */
    void backendAttached(BackendEndpoint at) {
        backend = at;
        backendCredit = 0;
    }

    /**
     * The backend has room for so many deliveries in all; called also where it has room for bytes
     * again.
     */
    void creditReceived(int credit) {
        backendCredit = credit;
        forwardPending();
    }

    /** A delivery begins. False where its sender had no credit for it. */
    boolean startDelivery(Delivery delivery) {
        if (grantedCredit == 0) {
            return false;
        }
        grantedCredit--;
        unsent.add(delivery);
        return true;
    }

    /** Bytes of it have come; whole: it ends with them. */
    void bytesReceived(Delivery delivery, byte[] bytes, boolean whole, Instant now) {
        if (delivery.completed) {
            return;
        }
        if (bytes.length > 0) {
            delivery.chunks.add(bytes);
            delivery.bufferedBytes += bytes.length;
            bufferedBytes += bytes.length;
        }
        if (whole) {
            delivery.fullyReceived = true;
            delivery.deadline = now.plus(limits.deliveryTimeout());
        }
        if (ended) {
            failOrRelease(delivery);
        } else {
            forwardPending();
        }
    }

    /** Its sender has taken it back before its end: it is owed nothing. */
    void deliveryAborted(Delivery delivery) {
        if (delivery.completed) {
            return;
        }
        delivery.completed = true;
        abandonAtBackend(delivery);
        remove(delivery);
        forwardPending();
    }

    /** The backend has given an outcome, or settled. */
    void outcomeReceived(Delivery delivery, DeliveryState state, boolean settled) {
        if (delivery.completed || backend == null) {
            return;
        }
        delivery.completed = true;
        client.sendOutcome(delivery, state, settled);
        if (!delivery.fullySent) {
            abandonAtBackend(delivery); // refused while its bytes still came: the rest goes nowhere
        }
        remove(delivery);
        forwardPending();
    }

    /**
     * The backend is lost. What may run once more waits for the next backend, in its old order;
     * what may not, was too large to keep or has been tried often enough is answered now.
     */
    void backendLost() {
        backend = null;
        backendCredit = 0;
        for (Delivery delivery : deliveriesInOrder()) {
            boolean again =
                    !delivery.everStarted
                            || idempotent
                                    && !delivery.discardingSent
                                    && delivery.attempts < limits.maxAttempts();
            if (delivery.presettled && delivery.everStarted) {
                again = false; // owed nothing, and perhaps there already
            }
            if (again) {
                delivery.started = false;
                delivery.fullySent = false;
                delivery.backendDelivery = null;
                delivery.nextChunk = 0;
                delivery.nextChunkOffset = 0;
            } else {
                failOrRelease(delivery);
            }
        }
        List<Delivery> left = deliveriesInOrder();
        awaitingOutcome.clear();
        unsent.clear();
        unsent.addAll(left);
    }

    /** What was sent goes before what waits: the order in which they came. */
    private List<Delivery> deliveriesInOrder() {
        List<Delivery> all = new ArrayList<>(awaitingOutcome);
        all.addAll(unsent);
        return all;
    }

    /** No backend will be had any more: each is answered by what is known of it. */
    void endWithoutBackend() {
        creditStopped = true;
        ended = true;
        deliveriesInOrder().forEach(this::failOrRelease);
    }

    /** The client has left: it is owed nothing, and what was only begun is taken back. */
    void clientLeft() {
        creditStopped = true;
        for (Delivery delivery : deliveriesInOrder()) {
            delivery.completed = true;
            if (!delivery.fullySent) {
                abandonAtBackend(delivery);
            }
            remove(delivery);
        }
    }

    /** Its sender has let go of what it was still welcome to send. */
    void clearGrantedCredit() {
        grantedCredit = 0;
    }

    /** How many are not wholly sent on. */
    int unsentCount() {
        return unsent.size();
    }

    /** From now on no more are welcome; those that are here go on. */
    void stopGrantingCredit() {
        creditStopped = true;
    }

    /** Gives up what has waited for too long; returns how many. */
    int expireDeliveries(Instant now) {
        int expired = 0;
        for (Delivery delivery : deliveriesInOrder()) {
            if (delivery.deadline == null || now.isBefore(delivery.deadline)) {
                break; // later ones came whole later
            }
            failOrRelease(delivery);
            expired++;
        }
        return expired;
    }

    /**
     * Failed where it may have run; where no byte has left the relay it is handed back as it was.
     */
    private void failOrRelease(Delivery delivery) {
        if (delivery.completed) {
            return;
        }
        delivery.completed = true;
        if (!delivery.presettled) {
            client.sendOutcome(
                    delivery,
                    delivery.everStarted ? new Modified(true, false) : Released.getInstance(),
                    true);
        }
        abandonAtBackend(delivery);
        remove(delivery);
    }

    private void abandonAtBackend(Delivery delivery) {
        if (backend == null || !delivery.started) {
            return;
        }
        if (delivery.fullySent) {
            backend.settle(delivery, null);
        } else {
            backend.abort(delivery);
        }
    }

    private void remove(Delivery delivery) {
        bufferedBytes -= delivery.bufferedBytes;
        delivery.bufferedBytes = 0;
        delivery.chunks.clear();
        if (!awaitingOutcome.remove(delivery)) {
            unsent.remove(delivery);
        }
    }

    /** Sends on what may go, in order, and welcomes as many more as the backend has room for. */
    void forwardPending() {
        while (backend != null && !unsent.isEmpty() && sendChunks(unsent.peek())) {
            Delivery through = unsent.poll();
            if (through != null && !through.completed) {
                awaitingOutcome.add(through);
            }
        }
        grantCredit();
    }

    /**
     * Sends what has come of it; false where it is not through yet, so that no later one may go.
     */
    private boolean sendChunks(Delivery delivery) {
        while (true) {
            boolean more = delivery.nextChunk < delivery.chunks.size();
            if (!more && !(delivery.fullyReceived && !delivery.fullySent) || !backend.canSend()) {
                return false;
            }
            if (!delivery.started) {
                delivery.started = true;
                delivery.everStarted = true;
                delivery.attempts++;
            }
            boolean last =
                    delivery.fullyReceived && delivery.nextChunk >= delivery.chunks.size() - 1;
            byte[] piece = more ? delivery.chunks.get(delivery.nextChunk) : new byte[0];
            delivery.nextChunkOffset +=
                    backend.send(delivery, piece, delivery.nextChunkOffset, last);
            if (delivery.nextChunkOffset < piece.length) {
                return false;
            }
            delivery.nextChunkOffset = 0;
            if (more) { // else its end came without bytes
                delivery.nextChunk++;
                discardSentChunks(delivery);
            }
            if (last) {
                delivery.fullySent = true;
                backendCredit--;
                if (delivery.presettled) {
                    delivery.completed = true; // nothing is owed
                    bufferedBytes -= delivery.bufferedBytes;
                }
                return true;
            }
        }
    }

    /** What is too large to be kept is only passed through: what has gone on is let go. */
    private void discardSentChunks(Delivery delivery) {
        if (!idempotent
                || delivery.discardingSent
                || delivery.bufferedBytes > limits.maxRetainedDeliveryBytes()) {
            delivery.discardingSent = true;
            int freed = 0;
            for (int i = 0; i < delivery.nextChunk; i++) {
                freed += delivery.chunks.get(i).length;
            }
            delivery.chunks.subList(0, delivery.nextChunk).clear();
            delivery.nextChunk = 0;
            delivery.bufferedBytes -= freed;
            bufferedBytes -= freed;
        }
    }

    private void grantCredit() {
        if (creditStopped || backend == null) {
            return;
        }
        int target = Math.min(limits.maxUnsettled() - size(), backendCredit - unsent.size());
        int more = target - grantedCredit;
        if (more > 0 && grantedCredit <= target / 2) {
            grantedCredit += more;
            client.grantCredit(more);
        }
    }

    /** Whether more bytes should be read from the client; what is not read holds its session up. */
    boolean canBufferMore() {
        return bufferedBytes < limits.maxBufferedBytes();
    }

    /** How many are owed an outcome. */
    int awaitedOutcomeCount() {
        return awaitingOutcome.size() + (int) unsent.stream().filter(d -> !d.presettled).count();
    }

    /** How many are here, in whatever state. */
    int size() {
        return awaitingOutcome.size() + unsent.size();
    }

    /** Bytes held for this link. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** How many more its sender may send by what it was told. */
    int grantedCredit() {
        return grantedCredit;
    }
}
