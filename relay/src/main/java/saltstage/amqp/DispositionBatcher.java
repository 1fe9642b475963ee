package saltstage.amqp;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.qpid.protonj2.engine.AMQPPerformativeEnvelopePool;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.OutgoingAMQPEnvelope;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.transport.Disposition;
import org.apache.qpid.protonj2.types.transport.Performative;
import org.apache.qpid.protonj2.types.transport.Role;

/**
 * Sends the outcomes of many deliveries in one disposition frame, which covers a range of ids
 * (2.7.6). In one iteration of the loop, outcomes arrive one by one from several backends. The
 * usual outcome, accepted and settled, is held until the end of the iteration and sent as ranges;
 * all others are sent at once. No outcome is held beyond the iteration or beyond the end of its
 * link, session or connection.
 */
final class DispositionBatcher implements EngineHandler {
    private final Consumer<Runnable> afterIteration;
    private final AMQPPerformativeEnvelopePool<OutgoingAMQPEnvelope> envelopePool =
            AMQPPerformativeEnvelopePool.outgoingEnvelopePool();
    private final Disposition disposition = new Disposition();

    /** Pending ids by channel of the session, for deliveries that this side sent. */
    private final Map<Integer, DeliveryIdRanges> senderRanges = new LinkedHashMap<>();

    /** Pending ids by channel of the session, for deliveries that this side received. */
    private final Map<Integer, DeliveryIdRanges> receiverRanges = new LinkedHashMap<>();

    private boolean flushScheduled;

    /** Creates a batcher; the argument runs a task after the current iteration of the loop. */
    DispositionBatcher(Consumer<Runnable> afterIteration) {
        this.afterIteration = afterIteration;
    }

    @Override
    public void handleWrite(EngineHandlerContext context, OutgoingAMQPEnvelope envelope) {
        Performative performative = envelope.getBody();
        if (performative instanceof Disposition outcome
                && outcome.getSettled()
                && outcome.getState() instanceof Accepted
                && !outcome.hasLast()) {
            rangesFor(outcome.getRole())
                    .computeIfAbsent(envelope.getChannel(), channel -> new DeliveryIdRanges())
                    .add((int) outcome.getFirst());
            envelope.release();
            if (!flushScheduled) {
                flushScheduled = true;
                afterIteration.accept(
                        () -> {
                            flushScheduled = false;
                            flush(context);
                        });
            }
            return;
        }
        switch (performative.getPerformativeType()) {
            case DETACH, END, CLOSE -> flush(context); // outcomes are invalid after these frames
            default -> {}
        }
        context.fireWrite(envelope);
    }

    private Map<Integer, DeliveryIdRanges> rangesFor(Role role) {
        return role == Role.RECEIVER ? receiverRanges : senderRanges;
    }

    private void flush(EngineHandlerContext context) {
        flush(context, Role.RECEIVER);
        flush(context, Role.SENDER);
    }

    private void flush(EngineHandlerContext context, Role role) {
        Map<Integer, DeliveryIdRanges> pending = rangesFor(role);
        if (pending.isEmpty() || !context.engine().isWritable()) {
            pending.clear();
            return;
        }
        Map<Integer, DeliveryIdRanges> flushed = new LinkedHashMap<>(pending);
        pending.clear();
        flushed.forEach(
                (channel, ranges) ->
                        ranges.drain(
                                (first, last) -> {
                                    disposition
                                            .reset()
                                            .setRole(role)
                                            .setFirst(first)
                                            .setSettled(true)
                                            .setState(Accepted.getInstance());
                                    if (last != first) {
                                        disposition.setLast(last);
                                    }
                                    context.fireWrite(
                                            envelopePool.take(disposition, channel, null));
                                }));
    }
}
