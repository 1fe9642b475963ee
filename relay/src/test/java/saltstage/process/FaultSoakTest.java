package saltstage.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;

/**
 * Guards against requests that are lost to transient failures of network calls, which a seed chooses.
 * Meanwhile clients come and go, some send nothing, the configuration is reloaded and the relay is
 * terminated. To run more seeds: {@code mvn -pl relay test -Dtest=FaultSoakTest -Dsoak.first=1
 * -Dsoak.seeds=50}.
 */
public class FaultSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEEDS = Integer.getInteger("soak.seeds", 4);
    private static final int FAULTS_PER_MILLE = 30;
    private static final int CLIENTS = 150;
    private static final int IDLE_CLIENTS = 40;
    private static final int DEADLINE_MS = 2_000;
    /** A request answered up to half a second after its deadline earns nothing; later it counts as lost. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500;
    private static final int END_WITHIN_MS = 3_700;

    @Test
    public void everyRequestIsAnsweredInTimeDespiteTransientNetworkFaults() throws Exception {
        List<String> brokenSeeds = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            String outcome = runSeed(seed);
            System.out.println("soak seed " + seed + ": " + outcome);
            if (!outcome.startsWith("kept")) {
                brokenSeeds.add(seed + ": " + outcome);
            }
        }
        assertEquals("seeds that broke a rule", List.of(), brokenSeeds);
    }

    private static String runSeed(int seed) throws Exception {
        Random random = new Random(seed);
        TreeMap<String, Integer> answers = new TreeMap<>();
        List<TestConnection> established = new ArrayList<>();
        List<Socket> idle = new ArrayList<>();
        try (RelayTestEnvironment relay = new RelayTestEnvironment(); var fleet = new FakeBackendFleet(5)) {
            relay.platformLimits = new PlatformLimits().networkFaults(seed, FAULTS_PER_MILLE);
            String config = relay.config(512, fleet.list(1));
            relay.startWith(config);
            for (int i = 0; i < CLIENTS; i++) {
                if (random.nextInt(CLIENTS) < IDLE_CLIENTS) {
                    idle.add(new Socket("127.0.0.1", relay.clientPort()));
                }
                TestConnection client = relay.sendOpen("id" + i, DEADLINE_MS);
                String answer = readAnswer(client);
                answers.merge(answer.split(" ")[0], 1, Integer::sum);
                if (answer.startsWith("UP")) {
                    if (random.nextBoolean()) {
                        established.add(client);
                    } else {
                        client.close();
                    }
                }
                if (i == CLIENTS / 2) {
                    relay.reload(config);
                }
            }
            RelayTestEnvironment.await("the new configuration is read", () -> relay.hasLogged("reload.done"));
            ProcessSupervisor.signal(relay.process().pid(), "TERM");
            int moved = 0;
            for (TestConnection client : established) {
                moved += "MOVE".equals(readAnswer(client, END_WITHIN_MS)) ? 1 : 0;
            }
            boolean ended = relay.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS);
            for (Socket socket : idle) {
                socket.close();
            }
            int answered = answers.getOrDefault("UP", 0) + answers.getOrDefault("BUSY", 0)
                + answers.getOrDefault("ERR", 0);
            boolean passed = answered == CLIENTS && moved == established.size() && ended
                && relay.process().exitValue() == 0;
            return (passed ? "kept " : "broken ") + answers + ", moved " + moved + " of " + established.size()
                + (ended ? "" : ", not ended") + (passed ? "" : loggedErrors(relay));
        }
    }

    private static String loggedErrors(RelayTestEnvironment relay) {
        return " " + relay.logLines.stream().filter(line -> line.contains(" ERROR ")).limit(3).toList();
    }

    private static String readAnswer(TestConnection client) throws IOException {
        return readAnswer(client, LOST_AFTER_MS);
    }

    private static String readAnswer(TestConnection client, int millis) throws IOException {
        client.socket.setSoTimeout(millis);
        try {
            String line = client.readLine();
            return line == null ? "end" : line;
        } catch (SocketTimeoutException timeout) {
            return "nothing";
        } catch (IOException reset) {
            return "reset";
        }
    }
}
