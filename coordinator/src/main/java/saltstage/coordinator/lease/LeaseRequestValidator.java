package saltstage.coordinator.lease;

import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.model.Rejection;

/** Validates the names and the duration in a request for a lease. */
final class LeaseRequestValidator {
    private static final int MAX_NAME_LENGTH = 200;

    private LeaseRequestValidator() {}

    /** Returns the rejection of a malformed request, or null if the request is valid. */
    static Rejection rejection(Acquire request) {
        if (!isValidName(request.name())) {
            String why = "a lease's name has 1 to " + MAX_NAME_LENGTH + " visible ASCII characters";
            return new Rejection("bad-name", why, 0);
        }
        if (hasInvalidLength(request.owner())) {
            String why = "an owner's name has 1 to " + MAX_NAME_LENGTH + " characters";
            return new Rejection("bad-owner", why, 0);
        }
        if (request.ttlMs() < Leases.MIN_TTL_MS || request.ttlMs() > Leases.MAX_TTL_MS) {
            String why = "a lease lasts " + Leases.MIN_TTL_MS + " to " + Leases.MAX_TTL_MS + " ms";
            return new Rejection("bad-ttl", why, 0);
        }
        return null;
    }

    private static boolean isValidName(String name) {
        return !hasInvalidLength(name) && name.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    private static boolean hasInvalidLength(String name) {
        return name == null || name.isEmpty() || name.length() > MAX_NAME_LENGTH;
    }
}
