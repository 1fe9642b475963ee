package saltstage.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import saltstage.Api.Idempotency;
import saltstage.Api.SafetyRules;
import saltstage.Api.DeduplicationScope;
import saltstage.Api.ServiceClass;
import saltstage.Api.Settings;

/** Reads the settings, as path and value, for the module; keys that it does not know are passed over. */
public final class SettingsReader {
    private final Map<String, String> pairs;
    private final Complaint complaint;

    /** Makes the exception that names a key and what is wrong with it. */
    public interface Complaint {
        /** The exception to throw. */
        RuntimeException malformed(String key, String what);
    }

    /** A reader of these pairs. */
    public SettingsReader(Map<String, String> pairs, Complaint complaint) {
        this.pairs = pairs;
        this.complaint = complaint;
    }

    /** The settings in the module's form. */
    public Settings read() {
        int classes = (int) whole("Services.count", 0, 0, 10_000);
        if (classes == 0) {
            throw complaint.malformed("Services.count", "no classes; one to 10000 are needed");
        }
        String[] aims = pairs.getOrDefault("FamilyInfo.MessageAim", "").split(",");
        List<ServiceClass> services = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            services.add(service(i, i < aims.length && !aims[i].isEmpty() ? (long) parse(
                "FamilyInfo.MessageAim", aims[i]) : 0));
        }
        List<Long> quotas = new ArrayList<>();
        for (String quota : pairs.getOrDefault("FamilyInfo.TenantQuotaConnections", "").split(",")) {
            if (!quota.isEmpty() && !quota.equals("null")) {
                quotas.add((long) parse("FamilyInfo.TenantQuotaConnections", quota));
            }
        }
        SafetyRules rules = new SafetyRules(whole("Safety.DrainGrace", 0, 0, Long.MAX_VALUE),
            share("Safety.ColdFrom", 1), whole("Safety.Cold", 0, 0, Long.MAX_VALUE),
            decimal("Safety.TipMultiple", 1), whole("Safety.Fall", 0, 0, Long.MAX_VALUE),
            whole("Safety.AskEvery", 10_000_000, 1, Long.MAX_VALUE));
        return new Settings((int) whole("FleetSize", 1, 1, Integer.MAX_VALUE),
            (int) whole("Zone", 0, 0, Integer.MAX_VALUE), services, quotas, decimal("OverShareWorth", 1),
            (int) whole("Limits.MaxAttempts", 1, 1, Integer.MAX_VALUE),
            whole("Limits.ConnectTimeout", 250_000, 1, Long.MAX_VALUE),
            asksForList(), !"live".equals(pairs.get("Weights")),
            decimal("Costs.CrossZone", 0),
            "true".equals(pairs.get("Limits.RetryAfter"))
                ? whole("Limits.MaxRetryAfter", 0, 0, Long.MAX_VALUE) : 0,
            whole("Tick", 1000, 1, Long.MAX_VALUE), tellsLoadWhenProbed(), rules);
    }

    private boolean asksForList() {
        String how = pairs.getOrDefault("Discovery", "pushed");
        if (!how.equals("pushed") && !how.equals("on_request")) {
            throw complaint.malformed("Discovery", unknown("Discovery", "pushed or on_request"));
        }
        return how.equals("on_request");
    }

    private boolean tellsLoadWhenProbed() {
        List<String> fields = List.of(pairs.getOrDefault("Report.Fields", "").split(","));
        return "true".equals(pairs.get("Limits.Probes")) && fields.contains("x0")
            && !"silent".equals(pairs.get("Report.How"));
    }

    private ServiceClass service(int i, long messageAim) {
        String at = "Services." + i + ".";
        long aim = whole(at + "Aim", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        long giveUp = whole(at + "GiveUp", Long.MIN_VALUE, 1, Long.MAX_VALUE);
        Idempotency effect = switch (pairs.getOrDefault(at + "Effect", "")) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.DEDUPLICATED;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw complaint.malformed(at + "Effect",
                unknown(at + "Effect", "retryable, dedup or fragile"));
        };
        DeduplicationScope scope = switch (pairs.getOrDefault(at + "Group", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw complaint.malformed(at + "Group", unknown(at + "Group", "all, zone or cell"));
        };
        return new ServiceClass(aim, giveUp, effect, scope, whole(at + "MemorySpan", 0, 0, Long.MAX_VALUE),
            decimal(at + "Points", 1), messageAim > 0 ? messageAim : aim);
    }

    private long whole(String key, long absent, long least, long most) {
        String value = pairs.get(key);
        double d = value == null ? absent : parse(key, value);
        if (d == Long.MIN_VALUE) {
            throw complaint.malformed(key, "missing; a number of " + least + " or more is needed");
        }
        if (value != null && (d < least || d > most)) {
            throw complaint.malformed(key, "out of range: " + value + "; " + least
                + (most >= Integer.MAX_VALUE ? " or more" : " to " + most) + " would do");
        }
        return (long) d;
    }

    private double decimal(String key, double absent) {
        String value = pairs.get(key);
        double d = value == null ? absent : parse(key, value);
        if (d < 0) {
            throw complaint.malformed(key, "out of range: " + value + "; 0 or more would do");
        }
        return d;
    }

    private double share(String key, double absent) {
        double d = decimal(key, absent);
        if (d > 1) {
            throw complaint.malformed(key, "out of range: " + pairs.get(key) + "; 0 to 1 would do");
        }
        return d;
    }

    private String unknown(String key, String known) {
        return "unknown word: " + pairs.get(key) + "; " + known + " would do";
    }

    private double parse(String key, String value) {
        try {
            double d = Double.parseDouble(value);
            if (!Double.isFinite(d)) {
                throw complaint.malformed(key, "out of range: " + value + "; a finite number would do");
            }
            return d;
        } catch (NumberFormatException e) {
            throw complaint.malformed(key, "not a number: " + value + "; a plain number would do");
        }
    }
}
