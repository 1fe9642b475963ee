package saltstage.coordinator.lease;

import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.model.Refused;

/** Checks the names and the span that a request for a lease gives. */
final class LeaseRequestValidator {
    private static final int MAX_NAME_LENGTH = 200;

    private LeaseRequestValidator() {}

    /** The refusal of a malformed request, or null. */
    static Refused refusal(Acquire request) {
        if (!validName(request.name())) {
            String why = "a lease's name has 1 to " + MAX_NAME_LENGTH + " visible ASCII characters";
            return new Refused("bad-name", why, 0);
        }
        if (badLength(request.owner())) {
            String why = "an owner's name has 1 to " + MAX_NAME_LENGTH + " characters";
            return new Refused("bad-owner", why, 0);
        }
        if (request.ttlMs() < Leases.MIN_TTL_MS || request.ttlMs() > Leases.MAX_TTL_MS) {
            String why = "a lease lasts " + Leases.MIN_TTL_MS + " to " + Leases.MAX_TTL_MS + " ms";
            return new Refused("bad-ttl", why, 0);
        }
        return null;
    }

    private static boolean validName(String name) {
        return !badLength(name) && name.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    private static boolean badLength(String name) {
        return name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH;
    }
}
