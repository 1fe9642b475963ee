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
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Done;
import saltstage.coordinator.model.Refused;
import saltstage.coordinator.model.Reply;

/** The log's entries, applied: sessions, clocks, levels. */
class GroupStateTest {
    private GroupState state = new GroupState();

    private Reply say(String client, long seq, String epoch, long stamp, Command command)
            throws IOException {
        return state.apply(
                Codec.proposal(Codec.entry(new Proposal(client, seq, epoch, stamp, command))));
    }

    private static Acquire acquire(String owner) {
        return new Acquire("x", owner, 1_000, 0, false);
    }

    @Test
    void repeatedCommandGetsItsFirstAnswerAlsoAfterASnapshot() throws IOException {
        Reply first = say("c", 1, "e", 0, acquire("a"));
        say("c", 2, "e", 10, new Release("x", "a", ((Granted) first).fence()));
        Reply again = say("c", 2, "e", 20, new Release("x", "a", ((Granted) first).fence()));
        assertEquals(
                "released",
                ((Done) again).what(),
                "carried out a second time it would find nothing");
        state = new GroupState(Codec.image(Codec.snapshot(state.image())));
        assertEquals(again, say("c", 2, "e", 30, new Release("x", "a", ((Granted) first).fence())));
        assertEquals("stale", ((Refused) say("c", 1, "e", 40, acquire("a"))).code());
    }

    @Test
    void sessionThatWasForgottenIsToldSoAndNothingIsDone() throws IOException {
        assertEquals("session-lost", ((Refused) say("c", 7, "e", 0, acquire("a"))).code());
        assertEquals(0, state.leases().size());
        say("old", 1, "e", 0, acquire("a"));
        say("new", 1, "e", Sessions.IDLE_MS + 1, acquire("b"));
        assertEquals(
                "session-lost",
                ((Refused) say("old", 2, "e", Sessions.IDLE_MS + 2, acquire("a"))).code());
    }

    @Test
    void timeGoesByTheStampsOfOneLeadershipOnly() throws IOException {
        say("a", 1, "first", 5_000, acquire("a"));
        say("b", 1, "second", 900_000, acquire("b"));
        assertEquals(0, state.time().now(), "what lies between two leaderships is not known");
        assertInstanceOf(Held.class, say("b", 2, "second", 900_999, acquire("b")));
        assertInstanceOf(Held.class, say("b", 3, "second", 900_500, acquire("b")), "a late stamp");
        assertEquals(999, state.time().now());
        assertInstanceOf(Granted.class, say("b", 4, "second", 901_000, acquire("b")));
    }

    @Test
    void oneClockThatIsAnHourOffDoesNotChangeTheTimeOfDay() throws IOException {
        List<String> voters = List.of("a", "b", "c");
        long day = 1_700_000_000_000L;
        say(
                "",
                0,
                "e",
                0,
                new GroupCommands.Tick(
                        Map.of("a", day, "b", day + 20, "c", day + 3_600_000), Map.of(), voters));
        assertEquals(day + 20, state.time().day());
        say(
                "",
                0,
                "e",
                500,
                new GroupCommands.Tick(Map.of("a", day - 3_600_000), Map.of(), voters));
        assertTrue(state.time().day() >= day + 20, "it never goes back");
        assertTrue(state.time().day() <= day + 1_000);
    }

    @Test
    void levelRisesOnceEachVoterKnowsItAndNeverFalls() throws IOException {
        for (String name : List.of("a", "b")) {
            say(
                    "",
                    0,
                    "e",
                    0,
                    new GroupCommands.Introduce(name, "d" + name, "1.2.3.4:1", "1.2.3.4:2"));
        }
        say("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("a", 3), List.of("a", "b")));
        assertEquals(1, state.level(), "one voter was not heard");
        say("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("b", 2), List.of("a", "b")));
        assertEquals(2, state.level());
        say("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("b", 1), List.of("a", "b")));
        assertEquals(2, state.level());
    }

    @Test
    void otherDiskUnderANameThatIsTakenOrWasIsRefused() throws IOException {
        say("", 0, "e", 0, new GroupCommands.Introduce("a", "d1", "1.2.3.4:1", "1.2.3.4:2"));
        say("", 0, "e", 0, new GroupCommands.Tick(Map.of(), Map.of("a", 2), List.of("a")));
        assertEquals(
                "other-disk",
                ((Refused)
                                say(
                                        "",
                                        0,
                                        "e",
                                        0,
                                        new GroupCommands.Introduce(
                                                "a", "d2", "1.2.3.4:1", "1.2.3.4:2")))
                        .code());
        say("", 0, "e", 0, new GroupCommands.Forget("a"));
        for (String disk : List.of("d1", "d2")) {
            assertEquals(
                    "other-disk",
                    ((Refused)
                                    say(
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
                say("c" + i % 7, 1 + i / 7, "e" + i / 20, i * 130L, acquire("o" + i % 3));
                state =
                        copy == 1 && i % 9 == 0
                                ? new GroupState(Codec.image(Codec.snapshot(state.image())))
                                : state;
            }
            copies[copy] = Codec.snapshot(state.image());
        }
        assertArrayEquals(copies[0], copies[1]);
    }

    @Test
    void entryOfAnotherFormatOrWithAFieldMoreIsRefused() {
        byte[] entry = Codec.entry(new Proposal("c", 1, "e", 0, acquire("a")));
        assertThrows(IOException.class, () -> Codec.proposal(Codec.bytes(Map.of("format", 2))));
        assertThrows(
                IOException.class,
                () -> Codec.proposal(Codec.bytes(Map.of("format", 1, "more", 1))));
        assertThrows(IOException.class, () -> Codec.proposal(java.util.Arrays.copyOf(entry, 20)));
    }
}
