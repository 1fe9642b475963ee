package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.apache.qpid.protonj2.engine.AMQPPerformativeEnvelopePool;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.OutgoingAMQPEnvelope;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.apache.qpid.protonj2.types.messaging.Released;
import org.apache.qpid.protonj2.types.transport.DeliveryState;
import org.apache.qpid.protonj2.types.transport.Detach;
import org.apache.qpid.protonj2.types.transport.Disposition;
import org.apache.qpid.protonj2.types.transport.Flow;
import org.apache.qpid.protonj2.types.transport.Performative;
import org.apache.qpid.protonj2.types.transport.Role;
import org.junit.jupiter.api.Test;

/**
 * Guards against outcomes that are held too long, sent twice or sent after a detach: only accepted
 * and settled outcomes are batched, and only until the end of the iteration.
 */
class DispositionBatcherTest {
    private final List<String> written = new ArrayList<>();
    private final List<Runnable> scheduledTasks = new ArrayList<>();
    private final Engine engine = EngineFactory.PROTON.createNonSaslEngine();
    private final AMQPPerformativeEnvelopePool<OutgoingAMQPEnvelope> pool =
            AMQPPerformativeEnvelopePool.outgoingEnvelopePool();
    private final DispositionBatcher batcher = new DispositionBatcher(scheduledTasks::add);
    private final EngineHandlerContext context =
            (EngineHandlerContext)
                    Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {EngineHandlerContext.class},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("fireWrite")) {
                                    OutgoingAMQPEnvelope envelope =
                                            (OutgoingAMQPEnvelope) arguments[0];
                                    written.add(
                                            describe(envelope.getBody(), envelope.getChannel()));
                                }
                                return method.getName().equals("engine") ? engine : null;
                            });

    private static String describe(Performative performative, int channel) {
        if (performative instanceof Disposition disposition) {
            return channel
                    + ":"
                    + disposition.getRole()
                    + " "
                    + disposition.getFirst()
                    + (disposition.hasLast() ? "-" + disposition.getLast() : "")
                    + " "
                    + disposition.getState().getType()
                    + (disposition.getSettled() ? "" : " unsettled");
        }
        return channel + ":" + performative.getPerformativeType();
    }

    private void writeDisposition(
            int channel, Role role, int id, DeliveryState state, boolean settled) {
        write(
                channel,
                new Disposition().setRole(role).setFirst(id).setState(state).setSettled(settled));
    }

    private void writeAccepted(int channel, int... ids) {
        for (int id : ids) {
            writeDisposition(channel, Role.RECEIVER, id, Accepted.getInstance(), true);
        }
    }

    private void write(int channel, Performative performative) {
        batcher.handleWrite(context, pool.take(performative, channel, null));
    }

    private void runScheduledTasks() {
        List<Runnable> tasks = List.copyOf(scheduledTasks);
        scheduledTasks.clear();
        tasks.forEach(Runnable::run);
    }

    @Test
    void acceptedOutcomesOfAnIterationAreSentAsRangesPerSession() {
        engine.start();
        engine.connection();
        engine.outputHandler((bytes, done) -> {});
        writeAccepted(1, 7, 5, 6, 9);
        writeAccepted(2, 6);
        writeDisposition(1, Role.SENDER, 8, Accepted.getInstance(), true);
        write(1, new Flow());
        assertEquals(
                List.of("1:FLOW"),
                written,
                "outcomes must wait for the end of the iteration, flows must not");
        assertEquals(1, scheduledTasks.size());
        runScheduledTasks();
        assertEquals(
                List.of(
                        "1:FLOW",
                        "1:RECEIVER 5-7 Accepted",
                        "1:RECEIVER 9 Accepted",
                        "2:RECEIVER 6 Accepted",
                        "1:SENDER 8 Accepted"),
                written);
        writeAccepted(1, 10);
        runScheduledTasks();
        assertEquals("1:RECEIVER 10 Accepted", written.get(written.size() - 1));
    }

    @Test
    void otherOutcomesAreSentAtOnce() {
        engine.start();
        writeDisposition(1, Role.RECEIVER, 5, Released.getInstance(), true);
        writeDisposition(1, Role.RECEIVER, 6, Accepted.getInstance(), false);
        write(
                1,
                new Disposition()
                        .setRole(Role.RECEIVER)
                        .setFirst(7)
                        .setLast(9)
                        .setState(Accepted.getInstance())
                        .setSettled(true));
        assertEquals(
                List.of(
                        "1:RECEIVER 5 Released",
                        "1:RECEIVER 6 Accepted unsettled",
                        "1:RECEIVER 7-9 Accepted"),
                written);
        assertEquals(0, scheduledTasks.size());
    }

    @Test
    void detachFlushesPendingOutcomes() {
        engine.start();
        writeAccepted(1, 5, 6);
        write(1, new Detach());
        assertEquals(List.of("1:RECEIVER 5-6 Accepted", "1:DETACH"), written);
        runScheduledTasks();
        assertEquals(2, written.size(), "outcomes were sent twice");
    }

    @Test
    void pendingOutcomesOfAStoppedEngineAreDiscarded() {
        engine.start();
        writeAccepted(1, 5);
        engine.shutdown();
        runScheduledTasks();
        assertEquals(List.of(), written);
    }
}
