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

/** Which outcomes wait for one another, and what none of them waits for. */
class OutcomeFramesTest {
    private final List<String> out = new ArrayList<>();
    private final List<Runnable> later = new ArrayList<>();
    private final Engine engine = EngineFactory.PROTON.createNonSaslEngine();
    private final AMQPPerformativeEnvelopePool<OutgoingAMQPEnvelope> pool =
            AMQPPerformativeEnvelopePool.outgoingEnvelopePool();
    private final OutcomeFrames frames = new OutcomeFrames(later::add);
    private final EngineHandlerContext context =
            (EngineHandlerContext)
                    Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {EngineHandlerContext.class},
                            (self, method, with) -> {
                                if (method.getName().equals("fireWrite")) {
                                    OutgoingAMQPEnvelope envelope = (OutgoingAMQPEnvelope) with[0];
                                    out.add(text(envelope.getBody(), envelope.getChannel()));
                                }
                                return method.getName().equals("engine") ? engine : null;
                            });

    private static String text(Performative said, int channel) {
        if (said instanceof Disposition one) {
            return channel
                    + ":"
                    + one.getRole()
                    + " "
                    + one.getFirst()
                    + (one.hasLast() ? "-" + one.getLast() : "")
                    + " "
                    + one.getState().getType()
                    + (one.getSettled() ? "" : " unsettled");
        }
        return channel + ":" + said.getPerformativeType();
    }

    private void says(int channel, Role role, int id, DeliveryState state, boolean settled) {
        write(
                channel,
                new Disposition().setRole(role).setFirst(id).setState(state).setSettled(settled));
    }

    private void accepted(int channel, int... ids) {
        for (int id : ids) {
            says(channel, Role.RECEIVER, id, Accepted.getInstance(), true);
        }
    }

    private void write(int channel, Performative said) {
        frames.handleWrite(context, pool.take(said, channel, null));
    }

    private void endRound() {
        List<Runnable> now = List.copyOf(later);
        later.clear();
        now.forEach(Runnable::run);
    }

    @Test
    void acceptedOnesOfARoundGoOutAsRangesOfTheirSession() {
        engine.start();
        engine.connection();
        engine.outputHandler((bytes, done) -> {});
        accepted(1, 7, 5, 6, 9);
        accepted(2, 6);
        says(1, Role.SENDER, 8, Accepted.getInstance(), true);
        write(1, new Flow());
        assertEquals(
                List.of("1:FLOW"),
                out,
                "nothing of it before the end of the round, and no flow waits");
        assertEquals(1, later.size());
        endRound();
        assertEquals(
                List.of(
                        "1:FLOW",
                        "1:RECEIVER 5-7 Accepted",
                        "1:RECEIVER 9 Accepted",
                        "2:RECEIVER 6 Accepted",
                        "1:SENDER 8 Accepted"),
                out);
        accepted(1, 10);
        endRound();
        assertEquals("1:RECEIVER 10 Accepted", out.get(out.size() - 1));
    }

    @Test
    void anyOtherOutcomeGoesOutAtOnce() {
        engine.start();
        says(1, Role.RECEIVER, 5, Released.getInstance(), true);
        says(1, Role.RECEIVER, 6, Accepted.getInstance(), false);
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
                out);
        assertEquals(0, later.size());
    }

    @Test
    void noneIsHeldOverADetach() {
        engine.start();
        accepted(1, 5, 6);
        write(1, new Detach());
        assertEquals(List.of("1:RECEIVER 5-6 Accepted", "1:DETACH"), out);
        endRound();
        assertEquals(2, out.size(), "nor said twice");
    }

    @Test
    void whatAnEngineThatHasEndedHeldIsDropped() {
        engine.start();
        accepted(1, 5);
        engine.shutdown();
        endRound();
        assertEquals(List.of(), out);
    }
}
