package saltstage.coordinator.group;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/**
 * What each client has asked last, and what came of it: a command that is sent again because its
 * answer was lost gets that answer, and is not carried out a second time. Oldest first, so that the
 * same are forgotten at every replica.
 */
final class Sessions {
    /**
     * A session that has said nothing for so long is forgotten; clients give a command up long
     * before.
     */
    static final long IDLE_TIMEOUT_MS = 600_000;

    static final int MAX_SESSIONS = 20_000;

    /** What a snapshot keeps of one. */
    record Row(String client, long seq, long seen, Reply reply) {}

    private final LinkedHashMap<String, Row> rows = new LinkedHashMap<>();

    Sessions(List<Row> kept) {
        kept.forEach(row -> rows.put(row.client(), row));
    }

    List<Row> image() {
        return new ArrayList<>(rows.values());
    }

    /** The reply that this number got, or why it may not be carried out; null: carry it out. */
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
