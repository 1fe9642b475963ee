package saltstage.coordinator.advice;

import java.util.List;
import saltstage.coordinator.model.Command;

/** What is recorded of advice. */
public final class AdviceCommands {
    /** From this feature level on. */
    public static final int MIN_FEATURE_LEVEL = 3;

    /** The lease under which one advisor speaks. */
    public static final String LEASE_NAME = "advisor";

    private AdviceCommands() {}

    /**
     * What the advisor that holds the lease says now, in place of what it said before and nobody
     * took up.
     */
    public record Advise(String owner, long fence, List<Move> moves, String why)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** An operator takes a recommendation up, or turns it down. */
    public record Decide(long id, boolean accept, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** What came of one that was taken up: the gain that was measured, or that it was stopped. */
    public record Outcome(long id, boolean stopped, double gain, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }
}
