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
     * Maps an attach to a request with the id that the relay has given it; {@code again} is true if
     * the link was established before and its backend was lost.
     */
    MappedRequest map(AttachRequest asked, String name, boolean again)
            throws AttachRejectedException {
        if (asked.address() == null || asked.address().isEmpty()) {
            throw new AttachRejectedException(
                    ErrorConditions.notImplemented(
                            "a link needs an address, CLASS or CLASS/GROUP"));
        }
        int slash = asked.address().indexOf('/');
        String word = slash < 0 ? asked.address() : asked.address().substring(0, slash);
        String group = slash < 0 ? null : asked.address().substring(slash + 1);
        String told = textProperty(asked, linkProperties.groupProperty());
        group = told == null ? group : told;
        if (group != null && !GROUP_PATTERN.matcher(group).matches()) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("a group takes 1 to 128 printable characters"));
        }
        String key = textProperty(asked, linkProperties.keyProperty());
        key = key == null ? asked.containerId() + '\n' + asked.linkName() : key;
        if (key.length() > MAX_KEY_CHARS) {
            key = key.substring(0, MAX_KEY_CHARS);
        }
        int place;
        int tenant;
        try {
            place = config.serviceClassIndex(word);
        } catch (MalformedException unknown) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("unknown class in the address"));
        }
        try {
            tenant = config.tenantIndex(asked.user() == null ? anonymousTenant : asked.user());
        } catch (MalformedException unknown) {
            throw new AttachRejectedException(ErrorConditions.notFound("the user is no tenant"));
        }
        boolean repeatable =
                config.settings().serviceClasses().get(place).idempotency()
                        == Api.Idempotency.IDEMPOTENT;
        return new MappedRequest(
                new RequestAttributes(name, place, tenant, key, group, Api.NONE, again),
                clientTimeout(asked, config.clientTimeout(place)),
                repeatable);
    }

    private Duration clientTimeout(AttachRequest asked, Duration most)
            throws AttachRejectedException {
        Object told = property(asked, linkProperties.deadlineProperty());
        if (told == null) {
            return most;
        }
        if (!(told instanceof Number n) || n.longValue() < 1) {
            throw new AttachRejectedException(
                    ErrorConditions.notFound("the deadline property takes milliseconds"));
        }
        return Duration.ofMillis(Math.min(most.toMillis(), n.longValue()));
    }

    private static String textProperty(AttachRequest asked, String name) {
        Object told = property(asked, name);
        return told == null ? null : told.toString();
    }

    private static Object property(AttachRequest asked, String name) {
        return name == null || asked.properties() == null
                ? null
                : asked.properties().get(Symbol.valueOf(name));
    }
}
