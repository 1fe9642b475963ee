package saltstage.amqp;

import java.util.ArrayList;
import java.util.List;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.wire.MalformedException;

/**
 * All that the operator's settings say of the front, read and checked as a whole; replaced as a
 * whole.
 */
record ValidatedSettings(
        AmqpSettings settings,
        AttachMapper attachMapper,
        UserSecrets userSecrets,
        DeliveryForwarder.Limits forwardingLimits) {
    /** Checks what the settings alone cannot know: the tenant of ANONYMOUS, the file of secrets. */
    static ValidatedSettings validate(AmqpSettings settings, Configuration config)
            throws MalformedException {
        UserSecrets secrets =
                settings.authentication().secretsFile() == null
                        ? UserSecrets.empty()
                        : UserSecrets.read(settings.authentication().secretsFile());
        if (settings.authentication().anonymousTenant() != null) {
            try {
                config.tenantIndex(settings.authentication().anonymousTenant());
            } catch (MalformedException unknown) {
                throw new MalformedException(
                        "amqp: anonymous_tenant '"
                                + settings.authentication().anonymousTenant()
                                + "' is not in the settings");
            }
        }
        AmqpSettings.Limits limits = settings.limits();
        return new ValidatedSettings(
                settings,
                new AttachMapper(config, settings),
                secrets,
                new DeliveryForwarder.Limits(
                        limits.maxUnsettledPerLink(),
                        limits.maxLinkBytes(),
                        limits.maxRetainedDeliveryBytes(),
                        config.settings().maxAttempts(),
                        settings.timeouts().delivery()));
    }

    /** What of the next rules cannot take effect before a restart; none of it is taken over. */
    List<String> restartRequiredChanges(ValidatedSettings next) {
        List<String> parts = new ArrayList<>();
        if (!settings.listenAddress().equals(next.settings.listenAddress())) {
            parts.add("amqp.listen");
        }
        if (settings.loops() != next.settings.loops()) {
            parts.add("amqp.loops");
        }
        return parts;
    }
}
