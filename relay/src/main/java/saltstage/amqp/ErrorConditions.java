package saltstage.amqp;

import java.time.Duration;
import java.util.Map;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.UnsignedInteger;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ConnectionError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;

/**
 * The error conditions that the relay says, each with the section of the specification that names
 * it.
 */
final class ErrorConditions {
    /** Milliseconds until a refused client should come again, in the info map of the error. */
    static final Symbol RETRY_AFTER = Symbol.valueOf("saltstage:retry-after-ms");

    /** Set in the info map where a link was moved: attaching again at once is what is asked for. */
    static final Symbol RECONNECT = Symbol.valueOf("saltstage:come-again");

    private ErrorConditions() {}

    /** Refused for now (2.8.15). */
    static ErrorCondition rejected(Duration retryAfter) {
        return retryAfter.isZero()
                ? new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, "refused, come again")
                : new ErrorCondition(
                        AmqpError.RESOURCE_LIMIT_EXCEEDED,
                        "refused, come again in " + retryAfter.toMillis() + " ms",
                        Map.of(RETRY_AFTER, UnsignedInteger.valueOf(retryAfter.toMillis())));
    }

    /** Failed; nothing is promised (2.8.15). */
    static ErrorCondition failed(String why) {
        return new ErrorCondition(AmqpError.INTERNAL_ERROR, why);
    }

    /** A class or tenant that the settings do not know (2.8.15). */
    static ErrorCondition notFound(String what) {
        return new ErrorCondition(AmqpError.NOT_FOUND, what);
    }

    /** Something of the specification that the relay does not do (2.8.15). */
    static ErrorCondition notImplemented(String what) {
        return new ErrorCondition(AmqpError.NOT_IMPLEMENTED, what);
    }

    /** A limit of the operator's was passed (2.8.15). */
    static ErrorCondition limitExceeded(String what) {
        return new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, what);
    }

    /** The link is moved: its client is to attach again (2.8.17). */
    static ErrorCondition moved(String why) {
        return new ErrorCondition(
                LinkError.DETACH_FORCED, "moved, attach again: " + why, Map.of(RECONNECT, true));
    }

    /** The relay leaves (2.8.16). */
    static ErrorCondition relayDraining() {
        return new ErrorCondition(
                ConnectionError.CONNECTION_FORCED,
                "relay leaves, connect again",
                Map.of(RECONNECT, true));
    }

    /** What came is no AMQP, or breaks its rules (2.8.16). */
    static ErrorCondition framingError(String what) {
        return new ErrorCondition(ConnectionError.FRAMING_ERROR, what);
    }
}
