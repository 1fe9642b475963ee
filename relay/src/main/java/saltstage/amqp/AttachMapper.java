package saltstage.amqp;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Pattern;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.Api;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.session.RequestAttributes;
import saltstage.wire.MalformedException;

/**
 * Maps a link to a request. The address is {@code CLASS} or {@code CLASS/GROUP}, the tenant is the
 * SASL user, and the key is the container id followed by the link name. Link properties that the
 * operator has configured take precedence. This class does no I/O.
 */
final class AttachMapper {
    private static final Pattern GROUP_PATTERN = Pattern.compile("[!-~]{1,128}");
    private static final int MAX_KEY_CHARS = 512;

    /** Thrown for an attach that must be rejected with the given condition. */
    static final class AttachRejectedException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient ErrorCondition condition;

        AttachRejectedException(ErrorCondition condition) {
            super(condition.getDescription(), null, false, false);
            this.condition = condition;
        }

        ErrorCondition condition() {
            return condition;
        }
    }

    /** The attach of a client; the user is null for ANONYMOUS. */
    record AttachRequest(
            String address,
            String containerId,
            String linkName,
            String user,
            Map<Symbol, Object> properties) {}

    /**
     * The attributes of a request, how long the client waits for the answer to its attach, and
     * whether its deliveries may be repeated.
     */
    record MappedRequest(
            RequestAttributes attributes, Duration clientTimeout, boolean idempotent) {}

    private final Configuration config;
    private final AmqpSettings.LinkProperties linkProperties;
    private final String anonymousTenant;

    AttachMapper(Configuration config, AmqpSettings settings) {
        this.config = config;
        linkProperties = settings.linkProperties();
        anonymousTenant = settings.authentication().anonymousTenant();
    }

    /**
     * Maps an attach to a request with the id that the relay has given it; {@code reattaching} is
     * true if the link was established before and its backend was lost.
     */
    MappedRequest map(AttachRequest attachRequest, String requestId, boolean reattaching)
            throws AttachRejectedException {
        if (attachRequest.address() == null || attachRequest.address().isEmpty()) {
            throw new AttachRejectedException(
                    ErrorConditions.notImplemented(
                            "a link needs an address, CLASS or CLASS/GROUP"));
        }
        int slash = attachRequest.address().indexOf('/');
        String className =
                slash < 0 ? attachRequest.address() : attachRequest.address().substring(0, slash);
        String group = slash < 0 ? null : attachRequest.address().substring(slash + 1);
        String groupProperty = textProperty(attachRequest, linkProperties.groupProperty());
        group = groupProperty == null ? group : groupProperty;
        if (group != null && !GROUP_PATTERN.matcher(group).matches()) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("a group takes 1 to 128 printable characters"));
        }
        String key = textProperty(attachRequest, linkProperties.keyProperty());
        key = key == null ? attachRequest.containerId() + '\n' + attachRequest.linkName() : key;
        if (key.length() > MAX_KEY_CHARS) {
            key = key.substring(0, MAX_KEY_CHARS);
        }
        int classIndex;
        int tenantIndex;
        try {
            classIndex = config.serviceClassIndex(className);
        } catch (MalformedException unknown) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("unknown class in the address"));
        }
        try {
            tenantIndex =
                    config.tenantIndex(
                            attachRequest.user() == null ? anonymousTenant : attachRequest.user());
        } catch (MalformedException unknown) {
            throw new AttachRejectedException(ErrorConditions.notFound("the user is no tenant"));
        }
        boolean idempotent =
                config.settings().serviceClasses().get(classIndex).idempotency()
                        == Api.Idempotency.IDEMPOTENT;
        return new MappedRequest(
                new RequestAttributes(
                        requestId, classIndex, tenantIndex, key, group, Api.NONE, reattaching),
                clientTimeout(attachRequest, config.clientTimeout(classIndex)),
                idempotent);
    }

    private Duration clientTimeout(AttachRequest attachRequest, Duration maxTimeout)
            throws AttachRejectedException {
        Object deadline = property(attachRequest, linkProperties.deadlineProperty());
        if (deadline == null) {
            return maxTimeout;
        }
        if (!(deadline instanceof Number millis) || millis.longValue() < 1) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("the deadline property takes milliseconds"));
        }
        return Duration.ofMillis(Math.min(maxTimeout.toMillis(), millis.longValue()));
    }

    private static String textProperty(AttachRequest attachRequest, String name) {
        Object value = property(attachRequest, name);
        return value == null ? null : value.toString();
    }

    private static Object property(AttachRequest attachRequest, String name) {
        return name == null || attachRequest.properties() == null
                ? null
                : attachRequest.properties().get(Symbol.valueOf(name));
    }
}
