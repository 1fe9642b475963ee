package saltstage.configuration.follower;

import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import saltstage.configuration.Change;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.Mutation;
import saltstage.configuration.SnapshotPage;
import saltstage.configuration.SnapshotPager;

/** A healthy source for {@link ScriptedSource}: serves the read API from a view and its history. */
public final class ServedView implements ScriptedSource.Script {
    private final ConfigurationView view;
    private final ChangeHistory history;
    private final SnapshotPager pager = new SnapshotPager();

    public ServedView() {
        this(new ConfigurationView());
    }

    /** Starts from this view, without a history of earlier changes. */
    public ServedView(ConfigurationView view) {
        this.view = view;
        history = new ChangeHistory(view.revision(), view.digest());
    }

    public synchronized Change accept(Mutation... mutations) {
        Change change = view.accept(List.of(mutations));
        history.append(change);
        notifyAll();
        return change;
    }

    @Override
    public void respond(Map<String, String> query, OutputStream out) throws Exception {
        if (query.get("path").endsWith("/snapshot")) {
            writeSnapshotPage(query, out);
        } else {
            writeChanges(query, out);
        }
    }

    private synchronized void writeSnapshotPage(Map<String, String> query, OutputStream out)
            throws Exception {
        String from = query.get("from");
        SnapshotPage page =
                pager.page(
                        view,
                        Long.parseLong(query.get("revision")),
                        from == null ? null : EntryKey.parse(from.replace("%2F", "/")),
                        Integer.parseInt(query.get("limit")));
        ScriptedSource.writeResponse(out, 200, ConfigurationJson.toJson(page));
    }

    private synchronized void writeChanges(Map<String, String> query, OutputStream out)
            throws Exception {
        long after = Long.parseLong(query.get("after"));
        long digest = ConfigurationJson.parseDigest(query.get("digest"), "digest");
        long deadlineNs = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (view.revision() == after && System.nanoTime() < deadlineNs) {
            wait(Math.max(1, (deadlineNs - System.nanoTime()) / 1_000_000));
        }
        ChangeHistory.Result result =
                history.changesAfter(after, digest, ConfigurationLimits.MAX_CHANGES_PER_RESPONSE);
        if (result instanceof ChangeHistory.Changes changes) {
            ChangesResponse response =
                    new ChangesResponse(view.revision(), view.digest(), changes.changes());
            ScriptedSource.writeResponse(out, 200, ConfigurationJson.toJson(response));
            return;
        }
        switch ((ChangeHistory.Failure) result) {
            case DIVERGED -> writeError(out, 409, ErrorResponse.DIVERGED);
            case TRUNCATED -> writeError(out, 410, ErrorResponse.TRUNCATED);
            default -> writeError(out, 421, ErrorResponse.BEHIND);
        }
    }

    private void writeError(OutputStream out, int status, String error) throws Exception {
        ScriptedSource.writeResponse(
                out,
                status,
                ConfigurationJson.toJson(new ErrorResponse(error, view.revision(), 0)));
    }
}
