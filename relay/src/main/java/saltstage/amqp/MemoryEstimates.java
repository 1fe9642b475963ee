package saltstage.amqp;

import java.util.Collection;
import java.util.Map;
import org.apache.qpid.protonj2.types.Binary;
import org.apache.qpid.protonj2.types.DescribedType;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.Attach;

/** Estimates of the memory that the parts of a client's connection occupy, in bytes. */
final class MemoryEstimates {
    /** A connection: its engine, and the bytes of an incomplete frame. */
    static final int CONNECTION_BYTES = 24 << 10;

    /** A session of a client and its counterpart at a backend. */
    static final int SESSION_BYTES = 10 << 10;

    /** A link and its counterpart at a backend, without what the client's attach contains. */
    static final int LINK_BYTES = 10 << 10;

    /** A link that was rejected and that the client has not detached yet. */
    static final int REJECTED_LINK_BYTES = 4 << 10;

    /** A delivery without an outcome and its counterpart at a backend, without its bytes. */
    static final int DELIVERY_BYTES = 768;

    private static final int ELEMENT_BYTES = 32;
    private static final int MAP_ENTRY_BYTES = 64;
    private static final int TEXT_BYTES = 96;
    private static final int CHARACTER_BYTES = 2;

    private MemoryEstimates() {}

    /** Returns the estimate for a link whose attach was received. */
    static long link(Attach attach) {
        return LINK_BYTES
                + value(attach.getName())
                + value(attach.getProperties())
                + value(attach.getUnsettled())
                + value(attach.getOfferedCapabilities())
                + value(attach.getDesiredCapabilities())
                + (attach.getSource() == null ? 0 : source(attach.getSource()))
                + (attach.getTarget() instanceof Target target ? target(target) : 0);
    }

    private static long source(Source source) {
        return value(source.getAddress())
                + value(source.getFilter())
                + value(source.getDynamicNodeProperties())
                + value(source.getOutcomes())
                + value(source.getCapabilities());
    }

    private static long target(Target target) {
        return value(target.getAddress())
                + value(target.getDynamicNodeProperties())
                + value(target.getCapabilities());
    }

    /** Returns the estimate for a decoded value with all that it contains. */
    static long value(Object value) {
        if (value == null) {
            return 0;
        }
        if (value instanceof Map<?, ?> map) {
            long bytes = ELEMENT_BYTES;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += MAP_ENTRY_BYTES + value(entry.getKey()) + value(entry.getValue());
            }
            return bytes;
        }
        if (value instanceof Collection<?> collection) {
            return ELEMENT_BYTES + collection.stream().mapToLong(MemoryEstimates::value).sum();
        }
        if (value instanceof Object[] array) {
            long bytes = ELEMENT_BYTES;
            for (Object element : array) {
                bytes += value(element);
            }
            return bytes;
        }
        if (value instanceof DescribedType described) {
            return ELEMENT_BYTES + value(described.getDescribed());
        }
        if (value instanceof Binary binary) {
            return ELEMENT_BYTES + binary.getLength();
        }
        if (value instanceof Symbol symbol) {
            return TEXT_BYTES + symbol.getLength();
        }
        if (value instanceof CharSequence) {
            return TEXT_BYTES + (long) CHARACTER_BYTES * value.toString().length();
        }
        return ELEMENT_BYTES;
    }
}
