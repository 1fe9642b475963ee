package saltstage.coordinator.group;

import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Command;

/** The commands that the group proposes itself. */
public final class GroupCommands {
    private GroupCommands() {}

    /**
     * Advances the group's time. The leader proposes it with its own values and those that the
     * other replicas reported to it.
     *
     * @param walls the wall clock time of each replica, in milliseconds since 1970
     * @param speaks the highest feature level that each replica's build supports
     * @param voters the committed voters, as known to the leader
     */
    public record Tick(Map<String, Long> walls, Map<String, Integer> speaks, List<String> voters)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /**
     * Registers the disk and the addresses of a member. Another disk under the same name is
     * rejected from then on.
     */
    public record Introduce(String member, String disk, String peers, String clients)
            implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /** Removes a member that has left the group. Its name is not used again. */
    public record Forget(String member) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }

    /**
     * Skips fencing tokens up to this one, which may have been issued by the group from whose
     * backup this group was restored.
     */
    public record SkipFences(long upTo) implements Command {
        @Override
        public int minFeatureLevel() {
            return 1;
        }
    }
}
