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
 * The error conditions that the relay sends, each with the section of the AMQP specification that
 * defines it.
 */
final class ErrorConditions {
    /** Key in the error's info map: milliseconds after which a rejected client should retry. */
    static final Symbol RETRY_AFTER = Symbol.valueOf("saltstage:retry-after-ms");

    /**
     * Key in the error's info map that asks the client to come back at once: {@link ClientLink}
     * means "attach again" by it when it moves a link, and a draining relay means "connect again".
     */
    static final Symbol RECONNECT = Symbol.valueOf("saltstage:come-again");

    private ErrorConditions() {}

    /** The request was rejected and may be retried later (2.8.15). */
    static ErrorCondition rejected(Duration retryAfter) {
        return retryAfter.isZero()
                ? new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, "refused, come again")
                : new ErrorCondition(
                        AmqpError.RESOURCE_LIMIT_EXCEEDED,
                        "refused, come again in " + retryAfter.toMillis() + " ms",
                        Map.of(RETRY_AFTER, UnsignedInteger.valueOf(retryAfter.toMillis())));
    }

    /** The request has failed and its effect is unknown (2.8.15). */
    static ErrorCondition failed(String reason) {
        return new ErrorCondition(AmqpError.INTERNAL_ERROR, reason);
    }

    /** The service class or tenant is not in the settings, or a property is invalid (2.8.15). */
    static ErrorCondition notFound(String description) {
        return new ErrorCondition(AmqpError.NOT_FOUND, description);
    }

    /** The relay does not implement this part of the specification (2.8.15). */
    static ErrorCondition notImplemented(String description) {
        return new ErrorCondition(AmqpError.NOT_IMPLEMENTED, description);
    }

    /** A limit that the operator has set was exceeded (2.8.15). */
    static ErrorCondition limitExceeded(String description) {
        return new ErrorCondition(AmqpError.RESOURCE_LIMIT_EXCEEDED, description);
    }

    /** The link is moved and the client should attach again (2.8.17). */
    static ErrorCondition moved(String reason) {
        return new ErrorCondition(
                LinkError.DETACH_FORCED, "moved, attach again: " + reason, Map.of(RECONNECT, true));
    }

    /** The relay is draining and the client should connect again (2.8.16). */
    static ErrorCondition relayDraining() {
        return new ErrorCondition(
                ConnectionError.CONNECTION_FORCED,
                "relay leaves, connect again",
                Map.of(RECONNECT, true));
    }

    /** The received bytes are not valid AMQP (2.8.16). */
    static ErrorCondition framingError(String description) {
        return new ErrorCondition(ConnectionError.FRAMING_ERROR, description);
    }
}
