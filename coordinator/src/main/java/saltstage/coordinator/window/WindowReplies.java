package saltstage.coordinator.window;

import java.util.List;
import saltstage.coordinator.model.Reply;

/** The replies to commands for maintenance windows. */
public final class WindowReplies {
    private WindowReplies() {}

    /**
     * The windows of a request: one, or several if it was split.
     *
     * @param known whether the windows existed already
     */
    public record Planned(List<Window> windows, boolean known) implements Reply {}

    /** The current state of a window. */
    public record Now(Window window) implements Reply {}
}
