package saltstage.coordinator.window;

import saltstage.coordinator.model.Command;

/**
 * The commands for maintenance windows. An agent sends its commands under the lease of its region
 * and with the fencing token of that lease.
 */
public final class WindowCommands {
    /** The feature level from which on these commands are understood. */
    public static final int MIN_FEATURE_LEVEL = 2;

    private WindowCommands() {}

    /** The steps of a window that an agent reports. */
    public enum Step {
        /** All connections were moved away; the nodes may be worked on. */
        OUT,
        /** The nodes are back, but still cold. */
        WARMING,
        /** A part of the capacity is proven to be back. */
        PROVEN,
        /** The window is over. */
        DONE
    }

    /** Replaces the plan of the fleet. */
    public record SetFleet(FleetPlan plan, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Requests a window. */
    public record Propose(WindowRequest wish) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Withdraws a window; a drain that has begun is aborted. */
    public record Withdraw(long id, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Pauses a window, or resumes it. */
    public record Pause(long id, boolean on, String by) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Asks whether the drain of a window may begin now. */
    public record Begin(long id, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Reports a step of a window; a repeated report changes nothing. */
    public record Report(long id, String owner, long fence, Step step, long proven)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** Reports the capacity that a region has lost outside its windows; 0 ends the outage. */
    public record Outage(String region, long lost, String owner, long fence) implements Command {
        @Override
        public int minFeatureLevel() {
            return MIN_FEATURE_LEVEL;
        }
    }

    /** The name of the lease under which the agent of a region acts. */
    public static String leaseName(String region) {
        return "agent/" + region;
    }
}
