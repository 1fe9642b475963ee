package saltstage.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** Checks the simulator protocol: the lines that batches of events are answered with. */
class SimulatorAdapterTest {
    private static final String LAUNCH =
            "LAUNCH\tWho=1\tSalt=5\tServices.count=1\tServices.0.Aim=300000"
                    + "\tServices.0.GiveUp=1200000\tServices.0.Effect=retryable\tDiscovery=pushed"
                    + "\tLimits.MaxAttempts=3";
    private static final String LIST =
            "DISCOVERY\tWho=1\tStamp=1\tScope=all\tRowsIn=1\n"
                    + "M\tHost=h1\tZone=0\tHealth=Ready\tUnits=1\tNew=2";
    private static final String JOB = "JOB_IN\tWho=1\tCorr=9\tQos=0\tDeadline=1300000\tNameKey=3";

    private static String run(String... events) throws IOException {
        StringWriter out = new StringWriter();
        String text = "FRAME\tTs=100000\tbatch=1\n" + String.join("\n", events) + "\nYOUR_TURN\n";
        new SimulatorAdapter(new BufferedReader(new StringReader(text)), out).run();
        return out.toString();
    }

    private static String malformedMessage(String... events) {
        return assertThrows(MalformedMessageException.class, () -> run(events)).getMessage();
    }

    @Test
    void requestIsSentAndUnknownFieldsAreIgnored() throws IOException {
        assertEquals(
                "HAND_OFF\tWho=1\tCorr=9\tLimit=300000\tHost=h1\nFINISHED\tbatch=1\n",
                run(LAUNCH + "\tBrand.New=1", LIST, JOB + "\tNew=x"));
    }

    @Test
    void unusedEventsAndUnknownRequestsAreIgnored() throws IOException {
        assertEquals(
                "FINISHED\tbatch=1\n",
                run(
                        LAUNCH,
                        "DROPPED\tWho=1\tCorr=77",
                        "ECHO\tWho=1\tHost=h1\tDelaySeen=5\tCode=S",
                        "PEER_DATA\tWho=1\tSender=2\tBlob=-",
                        "VERDICT\tWho=1\tCorr=77\tHost=h1\tTry=0\tCode=T\tDelaySeen=5"));
    }

    @Test
    void relaunchedInstanceStartsEmpty() throws IOException {
        String out = run(LAUNCH, LIST, "EXIT\tWho=1", LAUNCH, JOB);
        assertEquals("TIMER\tWho=1\tToken=9\tIn=1199000\nFINISHED\tbatch=1\n", out);
    }

    @Test
    void instancesShareNothing() throws IOException {
        String other = LAUNCH.replace("Who=1", "Who=2");
        String out = run(LAUNCH, other, LIST, JOB.replace("Who=1", "Who=2"));
        assertTrue(out.startsWith("TIMER\tWho=2"), out);
    }

    @Test
    void malformedInputNamesLineAndField() {
        assertEquals("line 2: JOB_IN: Who: unknown instance: 1", malformedMessage(JOB));
        assertEquals(
                "line 3: JOB_IN: Deadline: missing",
                malformedMessage(LAUNCH, "JOB_IN\tWho=1\tCorr=9\tQos=0"));
        assertEquals(
                "line 3: JOB_IN: Qos: out of range: 4",
                malformedMessage(LAUNCH, JOB.replace("Qos=0", "Qos=4")));
        assertEquals(
                "line 3: JOB_IN: Corr: not a whole number: x",
                malformedMessage(LAUNCH, JOB.replace("Corr=9", "Corr=x")));
        assertEquals(
                "line 3: VERDICT: Code: unknown: Z",
                malformedMessage(LAUNCH, "VERDICT\tWho=1\tCorr=1\tHost=h1\tCode=Z"));
        assertEquals(
                "line 3: DISCOVERY: RowsIn: 2 entries promised, 0 came",
                malformedMessage(LAUNCH, "DISCOVERY\tWho=1\tStamp=1\tScope=all\tRowsIn=2", JOB));
    }

    @Test
    void invalidSettingsNameTheKey() {
        assertEquals(
                "line 2: LAUNCH: Services.count: no classes; one to 10000 are needed",
                malformedMessage(LAUNCH.replace("Services.count=1", "Services.count=0")));
        assertEquals(
                "line 2: LAUNCH: Services.0.GiveUp: out of range: 0; 1 or more would do",
                malformedMessage(LAUNCH.replace("GiveUp=1200000", "GiveUp=0")));
        assertEquals(
                "line 2: LAUNCH: Services.0.Effect: unknown word: maybe; "
                        + "retryable, dedup or fragile would do",
                malformedMessage(LAUNCH.replace("retryable", "maybe")));
    }
}
