package saltstage.coordinator.window;

import saltstage.coordinator.model.Command;

/**
 * What can be asked of windows. What an agent says it says under its region's lease and its fence.
 */
public final class WindowCommands {
    /** From this feature level on. */
    public static final int MIN_FEATURE_LEVEL = 2;

    private WindowCommands() {}

    /** What an agent has come to. */
    public enum Step {
        /** The connections have left; the nodes may be worked on. */
        OUT,
        /** The nodes are back, and cold. */
        WARMING,
        /** So much of the capacity is proven to be back. */
        PROVEN,
        /** All is over. */
        DONE
    }

    /** The agreement about the fleet, in place of the one before. */
    public record SetFleet(FleetPlan plan, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Wants a window. */
    public record Propose(WindowRequest wish) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Wants it no more; a drain that has begun is turned back. */
    public record Withdraw(long id, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Holds a window back, or lets it go on. */
    public record Pause(long id, boolean on, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** May this window's drain begin now? */
    public record Begin(long id, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** An agent's step; said again it changes nothing. */
    public record Report(long id, String owner, long fence, Step step, long proven)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** So much of a region's capacity is missing outside its windows; 0: nothing any more. */
    public record Outage(String region, long lost, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** The lease under which a region's agent acts. */
    public static String leaseName(String region) {
        return "agent/" + region;
    }
}
