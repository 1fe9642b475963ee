package org.apache.qpid.protonj2.engine.impl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.ProtonBufferAllocator;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.OutgoingDelivery;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.messaging.Accepted;
import org.junit.jupiter.api.Test;

/** Guards against entries that a delivery in many parts leaves behind. */
class ProtonUnsettledDeliveriesTest {
    private static final int PARTS = 1_000;

    /** Passes the output of one engine to the other, as copies. */
    private static void connect(Engine from, Engine to) {
        from.outputHandler(
                (output, done) -> {
                    ProtonBuffer copy =
                            ProtonBufferAllocator.defaultAllocator()
                                    .allocate(output.getReadableBytes());
                    copy.writeBytes(output);
                    to.ingest(copy);
                    if (done != null) {
                        done.run();
                    }
                });
    }

    private static Engine acceptingEngine() {
        Engine engine = EngineFactory.PROTON.createNonSaslEngine();
        engine.connection()
                .openHandler(connection -> connection.open())
                .sessionOpenHandler(session -> session.open())
                .receiverOpenHandler(
                        receiver -> {
                            receiver.deliveryReadHandler(
                                    delivery -> {
                                        delivery.readAll();
                                        if (!delivery.isPartial()) {
                                            delivery.disposition(Accepted.getInstance(), true);
                                        }
                                    });
                            receiver.open();
                            receiver.addCredit(1);
                        });
        return engine;
    }

    @Test
    void deliveryInManyPartsIsOneEntryAndLeavesNone() {
        Engine engine = EngineFactory.PROTON.createNonSaslEngine();
        Engine peer = acceptingEngine();
        connect(engine, peer);
        connect(peer, engine);
        engine.start();
        peer.start();
        engine.connection().open();
        Session session = engine.connection().session();
        ProtonUnsettledDeliveries.trackOnce(session);
        session.open();
        Sender sender = session.sender("l");
        ProtonUnsettledDeliveries.trackOnce(sender);
        sender.open();
        OutgoingDelivery delivery = sender.next().setTag(new byte[] {1});
        for (int part = 1; part <= PARTS; part++) {
            delivery.streamBytes(
                    ProtonByteArrayBufferAllocator.wrapped(new byte[1]), part == PARTS);
            if (part == PARTS / 2) {
                assertEquals(1, ProtonUnsettledDeliveries.count(session));
                assertEquals(1, sender.unsettled().size());
            }
        }
        delivery.settle();
        assertEquals(0, ProtonUnsettledDeliveries.count(session));
        assertEquals(0, sender.unsettled().size());
    }
}
