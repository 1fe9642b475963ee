package saltstage.coordinator.group;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/** Tests how log entries are applied: sessions, clocks, members and feature levels. */
class GroupStateTest {
    private GroupState state = new GroupState();

    private Reply apply(String client, long seq, String epoch, long stamp, Command command)
            throws IOException {
        return state.apply(
                GroupCodec.decodeProposal(
                        GroupCodec.encodeEntry(new Proposal(client, seq, epoch, stamp, command))));
    }

    private static Acquire acquire(String owner) {
        return new Acquire("x", owner, 1_000, 0, false);
    }

    @Test
    void repeatedCommandGetsItsFirstAnswerAlsoAfterASnapshot() throws IOException {
        Reply first = apply("c", 1, "e", 0, acquire("a"));
        apply("c", 2, "e", 10, new Release("x", "a", ((Granted) first).fence()));
        Reply repeated = apply("c", 2, "e", 20, new Release("x", "a", ((Granted) first).fence()));
        assertEquals(
                "released",
                ((Acknowledgement) repeated).what(),
                "a second release would find nothing to release");
        state = new GroupState(GroupCodec.decodeSnapshot(GroupCodec.encodeSnapshot(state.image())));
        assertEquals(
                repeated, apply("c", 2, "e", 30, new Release("x", "a", ((Granted) first).fence())));
        assertEquals("stale", ((Rejection) apply("c", 1, "e", 40, acquire("a"))).code());
    }

    @Test
    void commandOfAForgottenSessionIsRejectedWithoutEffect() throws IOException {
        assertEquals("session-lost", ((Rejection) apply("c", 7, "e", 0, acquire("a"))).code());
        assertEquals(0, state.leases().size());
        apply("old", 1, "e", 0, acquire("a"));
        apply("new", 1, "e", Sessions.IDLE_TIMEOUT_MS + 1, acquire("b"));
        assertEquals(
                "session-lost",
                ((Rejection) apply("old", 2, "e", Sessions.IDLE_TIMEOUT_MS + 2, acquire("a")))
                        .code());
    }

    @Test
    void groupTimeAdvancesOnlyWithinOneLeadership() throws IOException {
        apply("a", 1, "first", 5_000, acquire("a"));
        apply("b", 1, "second", 900_000, acquire("b"));
        assertEquals(0, state.time().now(), "the time between two leaderships is unknown");
        assertInstanceOf(Held.class, apply("b", 2, "second", 900_999, acquire("b")));
        assertInstanceOf(
                Held.class,
                apply("b", 3, "second", 900_500, acquire("b")),
                "an earlier timestamp does not turn time back");
        assertEquals(999, state.time().now());
        assertInstanceOf(Granted.class, apply("b", 4, "second", 901_000, acquire("b")));
    }

    @Test
    void oneClockThatIsAnHourOffDoesNotChangeTheTimeOfDay() throws IOException {
        List<String> voters = List.of("a", "b", "c");
        long wallClockMs = 1_700_000_000_000L;
        apply(
                "",
                0,
                "e",
                0,
                new GroupCommands.Tick(
                        Map.of(
                                "a",
                                wallClockMs,
                                "b",
                                wallClockMs + 20,
                                "c",
                                wallClockMs + 3_600_000),
                        Map.of(),
                        voters));
        assertEquals(wallClockMs + 20, state.time().wallClockTime());
        apply(
                "",
                0,
                "e",
                500,
                new GroupCommands.Tick(Map.of("a", wallClockMs - 3_600_000), Map.of(), voters));
        assertTrue(
                state.time().wallClockTime() >= wallClockMs + 20,
                "the wall clock time never goes back");
        assertTrue(state.time().wallClockTime() <= wallClockMs + 1_000);
    }

    @Test
    void levelRisesOnceEachVoterKnowsItAndNeverFalls() throws IOException {
        for (String name : List.of("a", "b")) {
            apply(
                    "",
                    0,
                    "e",
                    0,
                    new GroupCommands.Introduce(name, "d" + name, "1.2.3.4:1", "1.2.3.4:2"));
        }
        apply("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("a", 3), List.of("a", "b")));
        assertEquals(1, state.featureLevel(), "one voter has not reported its level");
        apply("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("b", 2), List.of("a", "b")));
        assertEquals(2, state.featureLevel());
        apply("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("b", 1), List.of("a", "b")));
        assertEquals(2, state.featureLevel());
    }

    @Test
    void differentDiskUnderATakenOrRetiredNameIsRejected() throws IOException {
        apply("", 0, "e", 0, new GroupCommands.Introduce("a", "d1", "1.2.3.4:1", "1.2.3.4:2"));
        apply("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("a", 2), List.of("a")));
        assertEquals(
                "other-disk",
                ((Rejection)
                                apply(
                                        "",
                                        0,
                                        "e",
                                        0,
                                        new GroupCommands.Introduce(
                                                "a", "d2", "1.2.3.4:1", "1.2.3.4:2")))
                        .code());
        apply("", 0, "e", 0, new GroupCommands.Forget("a"));
        for (String disk : List.of("d1", "d2")) {
            assertEquals(
                    "other-disk",
                    ((Rejection)
                                    apply(
                                            "",
                                            0,
                                            "e",
                                            0,
                                            new GroupCommands.Introduce(
                                                    "a", disk, "1.2.3.4:1", "1.2.3.4:2")))
                            .code());
        }
    }

    @Test
    void sameLogGivesTheSameBytes() throws IOException {
        byte[][] copies = new byte[2][];
        for (int copy = 0; copy < 2; copy++) {
            state = new GroupState();
            for (int i = 0; i < 50; i++) {
                apply("c" + i % 7, 1 + i / 7, "e" + i / 20, i * 130L, acquire("o" + i % 3));
                state =
                        copy == 1 && i % 9 == 0
                                ? new GroupState(
                                        GroupCodec.decodeSnapshot(
                                                GroupCodec.encodeSnapshot(state.image())))
                                : state;
            }
            copies[copy] = GroupCodec.encodeSnapshot(state.image());
        }
        assertArrayEquals(copies[0], copies[1]);
    }

    @Test
    void entryOfUnknownFormatOrWithUnknownFieldIsRejected() {
        byte[] entry = GroupCodec.encodeEntry(new Proposal("c", 1, "e", 0, acquire("a")));
        assertThrows(
                IOException.class,
                () -> GroupCodec.decodeProposal(GroupCodec.toCbor(Map.of("format", 2))));
        assertThrows(
                IOException.class,
                () -> GroupCodec.decodeProposal(GroupCodec.toCbor(Map.of("format", 1, "more", 1))));
        assertThrows(
                IOException.class,
                () -> GroupCodec.decodeProposal(java.util.Arrays.copyOf(entry, 20)));
    }
}
