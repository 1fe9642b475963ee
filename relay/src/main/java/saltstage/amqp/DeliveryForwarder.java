package saltstage.amqp;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import org.apache.qpid.protonj2.types.messaging.Modified;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.transport.DeliveryState;

/**
 * Forwards the deliveries of one sending client link to the backend that its link is attached to.
 * Deliveries keep their order, and each unsettled one gets exactly one outcome. When the backend is
 * lost, deliveries that may be repeated wait for the next backend. This class does no I/O and uses
 * no threads or clocks: callers pass the time, and actions go to the two endpoints. It enforces all
 * limits: deliveries without an outcome, buffered bytes, attempts and time.
 */
final class DeliveryForwarder {
    /** The client's side of the link. */
    interface ClientEndpoint {
        /** Allows the client to send this many more deliveries. */
        void grantCredit(int increment);

        /** Sends the only outcome of a delivery. */
        void sendOutcome(Delivery delivery, DeliveryState state, boolean settled);
    }

    /** The backend's side of the link, while it is attached to a backend. */
    interface BackendEndpoint {
        /** Returns whether credit, session window and connection have room to send now. */
        boolean canSend();

        /**
         * Sends a chunk from an offset on, which is the last of the delivery if {@code last} is
         * set. Returns the number of bytes sent.
         */
        int send(Delivery delivery, byte[] chunk, int offset, boolean last);

        /** Aborts a delivery that was started and not completed. */
        void abort(Delivery delivery);

        /**
         * Settles a delivery that was settled or given up on the client's side; state may be null.
         */
        void settle(Delivery delivery, DeliveryState state);
    }

    /** The limits; see {@link saltstage.config.AmqpSettings}. */
    record Limits(
            int maxUnsettled,
            int maxBufferedBytes,
            int maxRetainedDeliveryBytes,
            int maxAttempts,
            Duration deliveryTimeout) {}

    /** A delivery and how much of it has been received and forwarded. */
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

        Delivery(Object clientDelivery, boolean presettled) {
            this.clientDelivery = clientDelivery;
            this.presettled = presettled;
        }

        /** Returns the object that identifies the delivery on the client's side. */
        Object clientDelivery() {
            return clientDelivery;
        }

        /**
         * Returns the object that identifies the delivery on the backend's side, or null before it
         * is started there.
         */
        Object backendDelivery() {
            return backendDelivery;
        }

        /** Returns when its last byte was sent to the current backend, or null. */
        Instant sentAt() {
            return sentAt;
        }

        /** Records that the last byte of the delivery was sent. */
        void setSentAt(Instant time) {
            sentAt = time;
        }

        /** Sets the object that identifies the delivery on the backend's side. */
        void setBackendDelivery(Object newBackendDelivery) {
            backendDelivery = newBackendDelivery;
        }

        /** Returns whether the delivery was sent settled, so that it gets no outcome. */
        boolean isPresettled() {
            return presettled;
        }

        /** Returns whether its outcome was sent, or none is to be sent any more. */
        boolean isCompleted() {
            return completed;
        }
    }

    private final Limits limits;
    private final boolean idempotent;
    private final ClientEndpoint client;
    private final LongConsumer memoryUse;

    /** Deliveries that are not completely sent to the current backend, in order. */
    private final Deque<Delivery> unsent = new ArrayDeque<>();

    /** Deliveries that were sent and have no outcome yet, in order. */
    private final Set<Delivery> awaitingOutcome = new LinkedHashSet<>();

    private BackendEndpoint backend;
    private int backendCredit;
    private int grantedCredit;
    private int bufferedBytes;
    private boolean creditStopped;
    private boolean ended;

    /**
     * Creates a forwarder; only idempotent deliveries may be sent again to another backend. The
     * listener receives each change of the memory that the deliveries occupy, in bytes.
     */
    DeliveryForwarder(
            Limits limits, boolean idempotent, ClientEndpoint client, LongConsumer memoryUse) {
        this.limits = limits;
        this.idempotent = idempotent;
        this.client = client;
        this.memoryUse = memoryUse;
    }

    /** The link was attached to a backend. */
    void backendAttached(BackendEndpoint newBackend) {
        backend = newBackend;
        backendCredit = 0;
    }

    /**
     * Sets the total number of deliveries that the backend accepts now. Also called when the
     * backend has room for bytes again.
     */
    void creditReceived(int credit) {
        backendCredit = credit;
        forwardPending();
    }

    /** Starts a delivery. Returns false if the client had no credit for it. */
    boolean startDelivery(Delivery delivery) {
        if (grantedCredit == 0) {
            return false;
        }
        grantedCredit--;
        unsent.add(delivery);
        memoryUse.accept(MemoryEstimates.DELIVERY_BYTES);
        return true;
    }

    /** Bytes of a delivery were received, which may be its last. */
    void bytesReceived(Delivery delivery, byte[] bytes, boolean last, Instant now) {
        if (delivery.completed) {
            return;
        }
        if (bytes.length > 0) {
            delivery.chunks.add(bytes);
            changeBufferedBytes(delivery, bytes.length);
        }
        if (last) {
            delivery.fullyReceived = true;
            delivery.deadline = now.plus(limits.deliveryTimeout());
        }
        if (ended) {
            failOrRelease(delivery);
        } else {
            forwardPending();
        }
    }

    /** The client has aborted the delivery before its end, so that it gets no outcome. */
    void deliveryAborted(Delivery delivery) {
        if (delivery.completed) {
            return;
        }
        delivery.completed = true;
        abandonAtBackend(delivery);
        remove(delivery);
        forwardPending();
    }

    /** The backend has sent an outcome or has settled the delivery. */
    void outcomeReceived(Delivery delivery, DeliveryState state, boolean settled) {
        if (delivery.completed || backend == null) {
            return;
        }
        delivery.completed = true;
        client.sendOutcome(delivery, state, settled);
        if (!delivery.fullySent) {
            abandonAtBackend(delivery); // it got its outcome early, so the rest is not sent
        }
        remove(delivery);
        forwardPending();
    }

    /**
     * The backend is lost. Deliveries that may be repeated wait for the next backend in their
     * order. Those that may not, that were too large to retain or that have no attempts left get
     * their outcome now.
     */
    void backendLost() {
        backend = null;
        backendCredit = 0;
        for (Delivery delivery : deliveriesInOrder()) {
            boolean retry =
                    !delivery.everStarted
                            || idempotent
                                    && !delivery.discardingSent
                                    && delivery.attempts < limits.maxAttempts();
            if (delivery.presettled && delivery.everStarted) {
                retry = false; // it needs no outcome, and the backend may have received it
            }
            if (retry) {
                delivery.started = false;
                delivery.fullySent = false;
                delivery.backendDelivery = null;
                delivery.nextChunk = 0;
                delivery.nextChunkOffset = 0;
            } else {
                failOrRelease(delivery);
            }
        }
        List<Delivery> remaining = deliveriesInOrder();
        awaitingOutcome.clear();
        unsent.clear();
        unsent.addAll(remaining);
    }

    /** Returns all deliveries in the order of their arrival: sent ones come before unsent ones. */
    private List<Delivery> deliveriesInOrder() {
        List<Delivery> deliveries = new ArrayList<>(awaitingOutcome);
        deliveries.addAll(unsent);
        return deliveries;
    }

    /**
     * No further backend will be attached: each delivery gets the outcome that fits its progress.
     */
    void endWithoutBackend() {
        creditStopped = true;
        ended = true;
        deliveriesInOrder().forEach(this::failOrRelease);
    }

    /**
     * The client has left: no outcomes are sent, and incomplete deliveries are aborted at the
     * backend.
     */
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

    /** The client has given up its remaining credit. */
    void clearGrantedCredit() {
        grantedCredit = 0;
    }

    /** Returns the number of deliveries that are not completely sent. */
    int unsentCount() {
        return unsent.size();
    }

    /** Grants no more credit; deliveries that have arrived are still forwarded. */
    void stopGrantingCredit() {
        creditStopped = true;
    }

    /** Ends the deliveries whose deadline has passed and returns their number. */
    int expireDeliveries(Instant now) {
        int expired = 0;
        for (Delivery delivery : deliveriesInOrder()) {
            if (delivery.deadline == null || now.isBefore(delivery.deadline)) {
                break; // deliveries complete in order, so later ones have later deadlines
            }
            failOrRelease(delivery);
            expired++;
        }
        return expired;
    }

    /**
     * Ends a delivery as failed if the backend may have processed it, or as released if no byte of
     * it has left the relay.
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
        changeBufferedBytes(delivery, -delivery.bufferedBytes);
        delivery.chunks.clear();
        if (awaitingOutcome.remove(delivery) || unsent.remove(delivery)) {
            memoryUse.accept(-MemoryEstimates.DELIVERY_BYTES);
        }
    }

    private void changeBufferedBytes(Delivery delivery, int change) {
        delivery.bufferedBytes += change;
        bufferedBytes += change;
        memoryUse.accept(change);
    }

    /** Sends what can be sent, in order, and grants as much credit as the backend has room for. */
    void forwardPending() {
        while (backend != null && !unsent.isEmpty() && sendChunks(unsent.peek())) {
            Delivery sent = unsent.poll();
            if (sent != null && !sent.completed) {
                awaitingOutcome.add(sent);
            }
        }
        grantCredit();
    }

    /**
     * Sends the received chunks of a delivery. Returns false if it is not completely sent, so that
     * no later delivery may be sent.
     */
    private boolean sendChunks(Delivery delivery) {
        while (true) {
            boolean hasChunk = delivery.nextChunk < delivery.chunks.size();
            if (!hasChunk && !(delivery.fullyReceived && !delivery.fullySent)
                    || !backend.canSend()) {
                return false;
            }
            if (!delivery.started) {
                delivery.started = true;
                delivery.everStarted = true;
                delivery.attempts++;
            }
            boolean last =
                    delivery.fullyReceived && delivery.nextChunk >= delivery.chunks.size() - 1;
            byte[] chunk = hasChunk ? delivery.chunks.get(delivery.nextChunk) : new byte[0];
            delivery.nextChunkOffset +=
                    backend.send(delivery, chunk, delivery.nextChunkOffset, last);
            if (delivery.nextChunkOffset < chunk.length) {
                return false;
            }
            delivery.nextChunkOffset = 0;
            if (hasChunk) { // otherwise the end of the delivery came without bytes
                delivery.nextChunk++;
                discardSentChunks(delivery);
            }
            if (last) {
                delivery.fullySent = true;
                backendCredit--;
                if (delivery.presettled) {
                    delivery.completed = true; // a presettled delivery gets no outcome
                    changeBufferedBytes(delivery, -delivery.bufferedBytes);
                    memoryUse.accept(-MemoryEstimates.DELIVERY_BYTES);
                }
                return true;
            }
        }
    }

    /**
     * Discards the sent chunks of deliveries that are still arriving, which then cannot be
     * repeated. Otherwise a client that has no memory left could not complete them.
     */
    void discardSentChunksOfPartialDeliveries() {
        for (Delivery delivery : unsent) {
            if (!delivery.fullyReceived && delivery.nextChunk > 0) {
                delivery.discardingSent = true;
                discardSentChunks(delivery);
            }
        }
    }

    /** Discards the sent chunks of a delivery that cannot be repeated or is too large to retain. */
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
            changeBufferedBytes(delivery, -freed);
        }
    }

    /**
     * Grants credit up to the limit of unsettled deliveries and the credit of the backend, once the
     * client has at most half of that left.
     */
    private void grantCredit() {
        if (creditStopped || backend == null) {
            return;
        }
        int target = Math.min(limits.maxUnsettled() - size(), backendCredit - unsent.size());
        int increment = target - grantedCredit;
        if (increment > 0 && grantedCredit <= target / 2) {
            grantedCredit += increment;
            client.grantCredit(increment);
        }
    }

    /**
     * Returns whether more bytes may be read from the client. Unread bytes fill the client's
     * session window.
     */
    boolean canBufferMore() {
        return bufferedBytes < limits.maxBufferedBytes();
    }

    /** Returns the number of deliveries that still get an outcome. */
    int awaitedOutcomeCount() {
        return awaitingOutcome.size() + (int) unsent.stream().filter(d -> !d.presettled).count();
    }

    /** Returns the number of deliveries that are not completed. */
    int size() {
        return awaitingOutcome.size() + unsent.size();
    }

    /** Returns the number of bytes buffered for this link. */
    int bufferedBytes() {
        return bufferedBytes;
    }

    /** Returns the credit that the client was granted and has not used. */
    int grantedCredit() {
        return grantedCredit;
    }
}
