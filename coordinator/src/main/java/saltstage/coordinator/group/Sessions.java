package saltstage.coordinator.group;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/**
 * The last command of each client and its reply. A command that is sent again because its reply was
 * lost gets that reply and is not applied a second time. Sessions are ordered from the least
 * recently used, so that every replica removes the same ones.
 */
final class Sessions {
    /**
     * The time after which an idle session is removed. Clients give up on a command long before.
     */
    static final long IDLE_TIMEOUT_MS = 600_000;

    static final int MAX_SESSIONS = 20_000;

    /** The state of one session in a snapshot. */
    record Row(String client, long seq, long seen, Reply reply) {}

    private final LinkedHashMap<String, Row> rows = new LinkedHashMap<>();

    Sessions(List<Row> savedRows) {
        savedRows.forEach(row -> rows.put(row.client(), row));
    }

    List<Row> image() {
        return new ArrayList<>(rows.values());
    }

    /**
     * Returns the reply that this number already got, or the rejection if it may not be applied, or
     * null if it is to be applied.
     */
    Reply previousReply(String client, long seq) {
        Row row = rows.get(client);
        if (row == null) {
            return seq == 1
                    ? null
                    : new Rejection(
                            "session-lost",
                            "the group does not know this session any more;"
                                    + " what became of its last command is open",
                            0);
        }
        if (seq == row.seq()) {
            return row.reply();
        }
        return seq > row.seq()
                ? null
                : new Rejection(
                        "stale", "number " + seq + " after " + row.seq() + " in this session", 0);
    }

    /** Stores the reply to a session's last command, and removes idle and surplus sessions. */
    void recordReply(String client, long seq, Reply reply, long now) {
        rows.remove(client);
        rows.put(client, new Row(client, seq, now, reply));
        for (var oldest = rows.values().iterator(); oldest.hasNext(); ) {
            Row row = oldest.next();
            if (rows.size() <= MAX_SESSIONS && row.seen() + IDLE_TIMEOUT_MS > now) {
                break;
            }
            oldest.remove();
        }
    }

    int size() {
        return rows.size();
    }

    Map<String, Row> rows() {
        return rows;
    }
}
