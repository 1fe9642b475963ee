package saltstage.amqp;

import java.util.ArrayList;
import java.util.List;
import saltstage.config.AmqpSettings;
import saltstage.config.Configuration;
import saltstage.wire.MalformedException;

/** The operator's settings of the AMQP frontend, which are validated and replaced as a whole. */
record ValidatedSettings(
        AmqpSettings settings,
        AttachMapper attachMapper,
        UserSecrets userSecrets,
        DeliveryForwarder.Limits forwardingLimits) {
    /**
     * Validates the settings that depend on other data: the anonymous tenant and the secrets file.
     */
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

    /** Returns the names of changed settings that take effect only after a restart. */
    List<String> restartRequiredChanges(ValidatedSettings next) {
        List<String> changes = new ArrayList<>();
        if (!settings.listenAddress().equals(next.settings.listenAddress())) {
            changes.add("amqp.listen");
        }
        if (settings.loops() != next.settings.loops()) {
            changes.add("amqp.loops");
        }
        return changes;
    }
}
