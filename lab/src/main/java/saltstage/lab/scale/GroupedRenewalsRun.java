package saltstage.lab.scale;

import picocli.CommandLine.Command;

/**
 * Measures the same cost as {@link RenewalsRun}, with holders that renew all leases of a relay in
 * one command, as the lease client does.
 */
@Command(
        name = "renewals-grouped",
        mixinStandardHelpOptions = true,
        description =
                "Three real replicas; holders that renew 76 leases by one command, at rising"
                        + " rates.")
final class GroupedRenewalsRun extends RenewalsRun {
    GroupedRenewalsRun() {
        super("renewals-grouped", (int) CapacityTarget.SHARDS_PER_RELAY);
    }
}
