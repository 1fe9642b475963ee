package saltstage.coordinator.command;

import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that name a lease, its holder and its fencing token. */
final class LeaseHolderOptions {
    @Parameters(paramLabel = "NAME")
    private String name;

    @Option(names = "--owner", required = true)
    private String owner;

    @Option(names = "--fence", required = true)
    private long fence;

    String name() {
        return name;
    }

    String owner() {
        return owner;
    }

    long fencingToken() {
        return fence;
    }
}
