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
 * How a link becomes a request: its address is {@code CLASS} or {@code CLASS/GROUP}, its tenant is
 * the SASL user, its key the container id with the link's name. Properties that the operator names
 * go before those. Free of I/O.
 */
final class Mapping {
    private static final Pattern GROUP = Pattern.compile("[!-~]{1,128}");
    private static final int MOST_KEY = 512;

    /** A link that is not to be; the condition says why. */
    static final class Unmapped extends Exception {
        private static final long serialVersionUID = 1;
        private final transient ErrorCondition condition;

        Unmapped(ErrorCondition condition) {
            super(condition.getDescription(), null, false, false);
            this.condition = condition;
        }

        ErrorCondition condition() {
            return condition;
        }
    }

    /** A link as its client asks for it; user is null for ANONYMOUS. */
    record Asked(
            String address,
            String container,
            String link,
            String user,
            Map<Symbol, Object> properties) {}

    /** What it asks for, and how long its client waits for the attach to be answered. */
    record Mapped(RequestAttributes terms, Duration patience, boolean repeatable) {}

    private final Configuration config;
    private final AmqpSettings.LinkProperties names;
    private final String anonymousTenant;

    Mapping(Configuration config, AmqpSettings settings) {
        this.config = config;
        names = settings.linkProperties();
        anonymousTenant = settings.authentication().anonymousTenant();
    }

    /**
     * Maps a link; again: it stood before and its backend was lost. The name is the relay's own.
     */
    Mapped map(Asked asked, String name, boolean again) throws Unmapped {
        if (asked.address() == null || asked.address().isEmpty()) {
            throw new Unmapped(
                    Errors.notImplemented("a link needs an address, CLASS or CLASS/GROUP"));
        }
        int slash = asked.address().indexOf('/');
        String word = slash < 0 ? asked.address() : asked.address().substring(0, slash);
        String group = slash < 0 ? null : asked.address().substring(slash + 1);
        String told = text(asked, names.groupProperty());
        group = told == null ? group : told;
        if (group != null && !GROUP.matcher(group).matches()) {
            throw new Unmapped(Errors.notFound("a group takes 1 to 128 printable characters"));
        }
        String key = text(asked, names.keyProperty());
        key = key == null ? asked.container() + '\n' + asked.link() : key;
        if (key.length() > MOST_KEY) {
            key = key.substring(0, MOST_KEY);
        }
        int place;
        int tenant;
        try {
            place = config.serviceClassIndex(word);
        } catch (MalformedException unknown) {
            throw new Unmapped(Errors.notFound("unknown class in the address"));
        }
        try {
            tenant = config.tenantIndex(asked.user() == null ? anonymousTenant : asked.user());
        } catch (MalformedException unknown) {
            throw new Unmapped(Errors.notFound("the user is no tenant"));
        }
        boolean repeatable =
                config.settings().serviceClasses().get(place).idempotency()
                        == Api.Idempotency.IDEMPOTENT;
        return new Mapped(
                new RequestAttributes(name, place, tenant, key, group, Api.NONE, again),
                patience(asked, config.clientTimeout(place)),
                repeatable);
    }

    private Duration patience(Asked asked, Duration most) throws Unmapped {
        Object told = property(asked, names.deadlineProperty());
        if (told == null) {
            return most;
        }
        if (!(told instanceof Number n) || n.longValue() < 1) {
            throw new Unmapped(Errors.notFound("the deadline property takes milliseconds"));
        }
        return Duration.ofMillis(Math.min(most.toMillis(), n.longValue()));
    }

    private static String text(Asked asked, String name) {
        Object told = property(asked, name);
        return told == null ? null : told.toString();
    }

    private static Object property(Asked asked, String name) {
        return name == null || asked.properties() == null
                ? null
                : asked.properties().get(Symbol.valueOf(name));
    }
}
