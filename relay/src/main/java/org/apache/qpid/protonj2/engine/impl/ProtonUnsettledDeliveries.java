package org.apache.qpid.protonj2.engine.impl;

import java.lang.reflect.Field;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.util.UnsettledMap;

/**
 * Replaces the tables in which protonj2 1.0.0 keeps the unsettled deliveries that it sends. The
 * library adds a delivery once for each part that it sends of it and removes it once, so that each
 * delivery in parts leaves entries behind until its session ends.
 */
public final class ProtonUnsettledDeliveries {
    private static final Field SENDER_TABLE = field(ProtonSender.class);
    private static final Field SESSION_TABLE = field(ProtonSessionOutgoingWindow.class);

    private ProtonUnsettledDeliveries() {}

    private static Field field(Class<?> owner) {
        try {
            Field field = owner.getDeclaredField("unsettled");
            field.setAccessible(true);
            return field;
        } catch (NoSuchFieldException changedLibrary) {
            throw new IllegalStateException(
                    "this version of protonj2 has no table in " + owner, changedLibrary);
        }
    }

    /** A table that holds each delivery once. */
    private static final class OncePerDelivery extends UnsettledMap<ProtonOutgoingDelivery> {
        OncePerDelivery() {
            super(ProtonOutgoingDelivery::getDeliveryIdInt);
        }

        @Override
        public ProtonOutgoingDelivery put(int deliveryId, ProtonOutgoingDelivery delivery) {
            boolean known = delivery.getTransferCount() > 0 && containsKey(deliveryId);
            return known ? delivery : super.put(deliveryId, delivery);
        }
    }

    /** Prepares a session that has sent nothing yet. */
    public static void trackOnce(Session session) {
        replace(SESSION_TABLE, ((ProtonSession) session).getOutgoingWindow());
    }

    /** Prepares a sender that has sent nothing yet. */
    public static void trackOnce(Sender sender) {
        replace(SENDER_TABLE, sender);
    }

    private static void replace(Field table, Object owner) {
        try {
            table.set(owner, new OncePerDelivery());
        } catch (IllegalAccessException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Returns the number of entries in the session's table. */
    public static int count(Session session) {
        try {
            return ((UnsettledMap<?>)
                            SESSION_TABLE.get(((ProtonSession) session).getOutgoingWindow()))
                    .size();
        } catch (IllegalAccessException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
