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
 * Says in one frame what became of many deliveries (2.7.6: a disposition covers first to last).
 * Outcomes come from several backends in one round of the loop, one by one; those that are the
 * usual one, accepted and settled, wait for the end of the round and go out as ranges. All others
 * go out at once. Nothing is held over the end of its link, session or connection, and nothing
 * longer than the round.
 */
final class DispositionBatcher implements EngineHandler {
    private final Consumer<Runnable> afterIteration;
    private final AMQPPerformativeEnvelopePool<OutgoingAMQPEnvelope> envelopePool =
            AMQPPerformativeEnvelopePool.outgoingEnvelopePool();
    private final Disposition disposition = new Disposition();

    /** By session, and by which side of the deliveries this is. */
    private final Map<Integer, DeliveryIdRanges> senderRanges = new LinkedHashMap<>();

    private final Map<Integer, DeliveryIdRanges> receiverRanges = new LinkedHashMap<>();
    private boolean flushScheduled;

    /** Is given what has to run once the present round of the loop is through. */
    DispositionBatcher(Consumer<Runnable> afterRound) {
        this.afterIteration = afterRound;
    }

    @Override
    public void handleWrite(EngineHandlerContext context, OutgoingAMQPEnvelope envelope) {
        Performative said = envelope.getBody();
        if (said instanceof Disposition one
                && one.getSettled()
                && one.getState() instanceof Accepted
                && !one.hasLast()) {
            rangesFor(one.getRole())
                    .computeIfAbsent(envelope.getChannel(), any -> new DeliveryIdRanges())
                    .add((int) one.getFirst());
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
        switch (said.getPerformativeType()) {
            case DETACH, END, CLOSE -> flush(context); // an outcome after these is none
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
        Map<Integer, DeliveryIdRanges> all = rangesFor(role);
        if (all.isEmpty() || !context.engine().isWritable()) {
            all.clear();
            return;
        }
        Map<Integer, DeliveryIdRanges> now = new LinkedHashMap<>(all);
        all.clear();
        now.forEach(
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
