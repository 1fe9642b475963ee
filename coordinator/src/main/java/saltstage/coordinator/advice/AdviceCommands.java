package saltstage.coordinator.advice;

import java.util.List;
import saltstage.coordinator.model.Command;

/** The commands that record advice and its outcome. */
public final class AdviceCommands {
    /** The feature level from which on advice is supported. */
    public static final int MIN_FEATURE_LEVEL = 3;

    /** The name of the lease that the active advisor holds. */
    public static final String LEASE_NAME = "advisor";

    private AdviceCommands() {}

    /**
     * Records the current recommendations of the advisor that holds the lease. They replace its
     * earlier recommendations that no operator has accepted.
     */
    public record Advise(String owner, long fence, List<Move> moves, String why)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** An operator accepts or refuses a recommendation. */
    public record Decide(long id, boolean accept, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /**
     * Records the outcome of an accepted recommendation: the measured gain, or that it was stopped.
     */
    public record Outcome(long id, boolean stopped, double gain, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }
}
