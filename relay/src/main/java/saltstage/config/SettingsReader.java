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
        RuntimeException malformed(String key, String what);
    }

    /** Creates a reader of these settings. */
    public SettingsReader(Map<String, String> pairs, ErrorFactory complaint) {
        this.values = pairs;
        this.errors = complaint;
    }

    /** Returns the settings in the load balancer's form. */
    public Settings read() {
        int classes = (int) integer("Services.count", 0, 0, 10_000);
        if (classes == 0) {
            throw errors.malformed("Services.count", "no classes; one to 10000 are needed");
        }
        String[] aims = values.getOrDefault("FamilyInfo.MessageAim", "").split(",");
        List<ServiceClass> services = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            services.add(readServiceClass(i, i < aims.length && !aims[i].isEmpty() ? (long) parseNumber(
                "FamilyInfo.MessageAim", aims[i]) : 0));
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
        String how = values.getOrDefault("Discovery", "pushed");
        if (!how.equals("pushed") && !how.equals("on_request")) {
            throw errors.malformed("Discovery", unknownWord("Discovery", "pushed or on_request"));
        }
        return how.equals("on_request");
    }

    private boolean hasLoadInProbes() {
        List<String> fields = List.of(values.getOrDefault("Report.Fields", "").split(","));
        return "true".equals(values.get("Limits.Probes")) && fields.contains("x0")
            && !"silent".equals(values.get("Report.How"));
    }

    private ServiceClass readServiceClass(int i, long messageAim) {
        String at = "Services." + i + ".";
        long aim = integer(at + "Aim", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        long giveUp = integer(at + "GiveUp", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        Idempotency effect = switch (values.getOrDefault(at + "Effect", "")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.DEDUPLICATED;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw errors.malformed(at + "Effect",
                unknownWord(at + "Effect", "retryable, dedup or fragile"));
        };
        DeduplicationScope scope = switch (values.getOrDefault(at + "Group", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw errors.malformed(at + "Group", unknownWord(at + "Group", "all, zone or cell"));
        };
        return new ServiceClass(aim, giveUp, effect, scope, integer(at + "MemorySpan", 0, 0, Long.MAX_VALUE),
            decimal(at + "Points", 1), messageAim > 0 ? messageAim : aim);
    }

    private long integer(String key, long absent, long least, long most) {
        String value = values.get(key);
        double d = value == null ? absent : parseNumber(key, value);
        if (d == Long.MIN_VALUE) {
            throw errors.malformed(key, "missing; a number of " + least + " or more is needed");
        }
        if (value != null && (d < least || d > most)) {
            throw errors.malformed(key, "out of range: " + value + "; " + least
                + (most >= Integer.MAX_VALUE ? " or more" : " to " + most) + " would do");
        }
        return (long) d;
    }

    private double decimal(String key, double absent) {
        String value = values.get(key);
        double d = value == null ? absent : parseNumber(key, value);
        if (d < 0) {
            throw errors.malformed(key, "out of range: " + value + "; 0 or more would do");
        }
        return d;
    }

    private double fraction(String key, double absent) {
        double d = decimal(key, absent);
        if (d > 1) {
            throw errors.malformed(key, "out of range: " + values.get(key) + "; 0 to 1 would do");
        }
        return d;
    }

    private String unknownWord(String key, String known) {
        return "unknown word: " + values.get(key) + "; " + known + " would do";
    }

    private double parseNumber(String key, String value) {
        try {
            double d = Double.parseDouble(value);
            if (!Double.isFinite(d)) {
                throw errors.malformed(key, "out of range: " + value + "; a finite number would do");
            }
            return d;
        } catch (NumberFormatException e) {
            throw errors.malformed(key, "not a number: " + value + "; a plain number would do");
        }
    }
}
