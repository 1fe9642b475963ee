package saltstage.coordinator.window;

import java.util.List;
import saltstage.coordinator.model.Reply;

/** What asking of windows comes to. */
public final class WindowReplies {
    private WindowReplies() {}

    /** The windows of a wish, one or, where it was split, several. */
    public record Planned(List<Window> windows, boolean known) implements Reply {}

    /** A window as it is now. */
    public record Now(Window window) implements Reply {}
}
