package saltstage.coordinator.group;

import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Command;

/** What the group says to itself. */
public final class GroupCommands {
    private GroupCommands() {}

    /**
     * Time goes on; from the leader, about itself and what its peers told it.
     *
     * @param walls what time of day it is by each replica's clock, milliseconds since 1970
     * @param speaks the highest feature level that each replica's build knows
     * @param voters who votes, as the leader has it committed
     */
    public record Tick(Map<String, Long> walls, Map<String, Integer> speaks, List<String> voters)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /**
     * This member runs on this disk, and is reached there; another disk under its name is refused
     * from now on.
     */
    public record Introduce(String member, String disk, String peers, String clients)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /** This member has left: its name is not used again. */
    public record Forget(String member) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /**
     * Fences up to this one were given out by a group that this one was restored from a copy of.
     */
    public record SkipFences(long upTo) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }
}
