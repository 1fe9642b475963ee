package saltstage.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import saltstage.Api.Idempotency;
import saltstage.Api.SafetyRules;
import saltstage.Api.DeduplicationScope;
import saltstage.Api.ServiceClass;
import saltstage.Api.Settings;

/** Converts settings given as pairs of path and value for the load balancer. Unknown keys are ignored. */
public final class SettingsReader {
    private final Map<String, String> values;
    private final ErrorFactory errors;

    /** Creates the exception for a malformed setting. */
    public interface ErrorFactory {
        /** Returns the exception to throw, which names the key and the error. */
        RuntimeException malformed(String key, String message);
    }

    /** Creates a reader of these settings. */
    public SettingsReader(Map<String, String> values, ErrorFactory errors) {
        this.values = values;
        this.errors = errors;
    }

    /** Returns the settings in the load balancer's form. */
    public Settings read() {
        int classes = (int) integer("Services.count", 0, 0, 10_000);
        if (classes == 0) {
            throw errors.malformed("Services.count", "no classes; one to 10000 are needed");
        }
        String[] messageTargets = values.getOrDefault("FamilyInfo.MessageAim", "").split(",");
        List<ServiceClass> services = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            services.add(readServiceClass(i, i < messageTargets.length && !messageTargets[i].isEmpty()
                ? (long) parseNumber("FamilyInfo.MessageAim", messageTargets[i]) : 0));
        }
        List<Long> quotas = new ArrayList<>();
        for (String quota : values.getOrDefault("FamilyInfo.TenantQuotaConnections", "").split(",")) {
            if (!quota.isEmpty() && !quota.equals("null")) {
                quotas.add((long) parseNumber("FamilyInfo.TenantQuotaConnections", quota));
            }
        }
        SafetyRules rules = new SafetyRules(integer("Safety.DrainGrace", 0, 0, Long.MAX_VALUE),
            fraction("Safety.ColdFrom", 1), integer("Safety.Cold", 0, 0, Long.MAX_VALUE),
            decimal("Safety.TipMultiple", 1), integer("Safety.Fall", 0, 0, Long.MAX_VALUE),
            integer("Safety.AskEvery", 10_000_000, 1, Long.MAX_VALUE));
        return new Settings((int) integer("FleetSize", 1, 1, Integer.MAX_VALUE),
            (int) integer("Zone", 0, 0, Integer.MAX_VALUE), services, quotas, decimal("OverShareWorth", 1),
            (int) integer("Limits.MaxAttempts", 1, 1, Integer.MAX_VALUE),
            integer("Limits.ConnectTimeout", 250_000, 1, Long.MAX_VALUE),
            isListRequested(), !"live".equals(values.get("Weights")),
            decimal("Costs.CrossZone", 0),
            "true".equals(values.get("Limits.RetryAfter"))
                ? integer("Limits.MaxRetryAfter", 0, 0, Long.MAX_VALUE) : 0,
            integer("Tick", 1000, 1, Long.MAX_VALUE), hasLoadInProbes(), rules);
    }

    private boolean isListRequested() {
        String mode = values.getOrDefault("Discovery", "pushed");
        if (!mode.equals("pushed") && !mode.equals("on_request")) {
            throw errors.malformed("Discovery", unknownWord("Discovery", "pushed or on_request"));
        }
        return mode.equals("on_request");
    }

    private boolean hasLoadInProbes() {
        List<String> fields = List.of(values.getOrDefault("Report.Fields", "").split(","));
        return "true".equals(values.get("Limits.Probes")) && fields.contains("x0")
            && !"silent".equals(values.get("Report.How"));
    }

    private ServiceClass readServiceClass(int i, long messageTarget) {
        String prefix = "Services." + i + ".";
        long latencyTarget = integer(prefix + "Aim", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        long clientTimeout = integer(prefix + "GiveUp", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        Idempotency idempotency = switch (values.getOrDefault(prefix + "Effect", "")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.DEDUPLICATED;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw errors.malformed(prefix + "Effect",
                unknownWord(prefix + "Effect", "retryable, dedup or fragile"));
        };
        DeduplicationScope scope = switch (values.getOrDefault(prefix + "Group", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw errors.malformed(prefix + "Group",
                unknownWord(prefix + "Group", "all, zone or cell"));
        };
        return new ServiceClass(latencyTarget, clientTimeout, idempotency, scope,
            integer(prefix + "MemorySpan", 0, 0, Long.MAX_VALUE),
            decimal(prefix + "Points", 1), messageTarget > 0 ? messageTarget : latencyTarget);
    }

    private long integer(String key, long defaultValue, long min, long max) {
        String value = values.get(key);
        double number = value == null ? defaultValue : parseNumber(key, value);
        if (number == Long.MIN_VALUE) {
            throw errors.malformed(key, "missing; a number of " + min + " or more is needed");
        }
        if (value != null && (number < min || number > max)) {
            throw errors.malformed(key, "out of range: " + value + "; " + min
                + (max >= Integer.MAX_VALUE ? " or more" : " to " + max) + " would do");
        }
        return (long) number;
    }

    private double decimal(String key, double defaultValue) {
        String value = values.get(key);
        double number = value == null ? defaultValue : parseNumber(key, value);
        if (number < 0) {
            throw errors.malformed(key, "out of range: " + value + "; 0 or more would do");
        }
        return number;
    }

    private double fraction(String key, double defaultValue) {
        double number = decimal(key, defaultValue);
        if (number > 1) {
            throw errors.malformed(key, "out of range: " + values.get(key) + "; 0 to 1 would do");
        }
        return number;
    }

    private String unknownWord(String key, String known) {
        return "unknown word: " + values.get(key) + "; " + known + " would do";
    }

    private double parseNumber(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (!Double.isFinite(number)) {
                throw errors.malformed(key, "out of range: " + value + "; a finite number would do");
            }
            return number;
        } catch (NumberFormatException e) {
            throw errors.malformed(key, "not a number: " + value + "; a plain number would do");
        }
    }
}
