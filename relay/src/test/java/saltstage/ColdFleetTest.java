package saltstage;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Rules;
import saltstage.Api.Server;
import saltstage.Api.Settings;

/**
 * Rule 4 for the sum of all processes: within any span that the settings name a cold server gets no
 * more than the budget N of its present capacity, and 2 * root of N + 2 for chance, however many
 * relays share it. No relay is told what the others do; what they have in common is the list, the
 * reports and the settings.
 */
class ColdFleetTest {
    private static final int WARM = 9;
    private static final double FILLS = 80; // connections of mean load that fill a warm server
    private static final double BUSY = 0.6;
    private static final long STEP = 20_000;

    private final Random random = new Random(5);
    private final List<Rig> relays = new ArrayList<>();
    private final Map<String, Integer> holds = new TreeMap<>(Map.of("cold", 0));
    private Rules rules;
    private final long startedAt = 100 * Rig.SECOND;
    private long now = startedAt;
    private long ids = 1_000_000;

    private void warmsIn(int seconds) {
        rules =
                new Rules(
                        Rig.SECOND, 0.25, seconds * Rig.SECOND, 3, 3 * Rig.SECOND, 10 * Rig.SECOND);
    }

    private Rig relay(int fleet, int seed) {
        Settings s = Rig.settings(0.02, false, Rig.safe());
        long share = (long) (FILLS * (WARM + 1));
        Rig rig =
                new Rig(
                        new Settings(
                                fleet,
                                0,
                                s.classes(),
                                List.of(share),
                                s.overShareWorth(),
                                s.maxAttempts(),
                                s.connectTimeout(),
                                false,
                                true,
                                0.02,
                                0,
                                5000,
                                true,
                                rules),
                        seed);
        rig.now = now;
        Server[] all = new Server[WARM + 1];
        for (int i = 0; i < WARM; i++) {
            all[i] = Rig.server("s" + i, 0);
        }
        all[WARM] = new Server("cold", 0, 1, Health.READY, 1, startedAt);
        rig.list(Listing.ALL, all);
        return rig;
    }

    /**
     * So many relays that hold what the warm servers carry; skewed: the first half has four fifths
     * of it.
     */
    private void fleet(int size, boolean skewed) {
        for (int i = 0; i < size; i++) {
            relays.add(relay(size, i + 1));
        }
        for (int server = 0; server < WARM; server++) {
            for (int k = 0; k < BUSY * FILLS; k++) {
                drawn(skewed).opened("s" + server, 1);
                holds.merge("s" + server, 1, Integer::sum);
            }
        }
        for (Rig rig : relays) {
            for (int i = 0; i < 40; i++) {
                rig.node.timer(rig.now, "probe"); // what is placed now is what reports speak of
            }
        }
    }

    private Rig drawn(boolean skewed) {
        int half = relays.size() / 2;
        boolean first = skewed && random.nextInt(5) > 0;
        return relays.get(
                first ? random.nextInt(half) : half + random.nextInt(relays.size() - half));
    }

    /**
     * Each relay is told what all servers hold of what they can, the cold one only where that is
     * meant.
     */
    private void report(boolean cold) {
        for (Rig rig : relays) {
            holds.forEach(
                    (server, held) -> {
                        if (cold || !server.equals("cold")) {
                            rig.node.probed(now, server, Outcome.SERVED, held / FILLS);
                        }
                    });
        }
    }

    /**
     * The most of N + 2 * root of N + 2 that any span was sent, in a crowd that comes for two
     * spans.
     */
    private double crowd(boolean skewed, boolean reported) {
        List<Long> sent = new ArrayList<>();
        double worst = 0;
        int crowd = (int) (2 * FILLS * (WARM + 1) * STEP / rules.fall());
        for (long end = now + 2 * rules.fall(); now < end; now += STEP) {
            if (now % Rig.SECOND < STEP) {
                report(reported);
            }
            for (int i = 0; i < crowd; i++) {
                Rig rig = drawn(skewed);
                rig.now = now;
                long id = ++ids;
                rig.node.request(
                        now,
                        new Request(
                                id,
                                0,
                                0,
                                random.nextInt(1 << 30),
                                Api.NONE,
                                1,
                                now + 1_200_000,
                                false,
                                false));
                String server = rig.sentTo.get(id);
                if ("cold".equals(server)) {
                    sent.add(now);
                }
                if (server != null) {
                    rig.streams(id, 10_000);
                    holds.merge(server, 1, Integer::sum);
                }
            }
            long from = now - rules.fall();
            sent.removeIf(at -> at <= from);
            double warmth =
                    rules.coldFrom()
                            + (1 - rules.coldFrom())
                                    * Math.min(1, (now - startedAt) / (double) rules.cold());
            double n = rules.tipMultiple() * warmth * FILLS * rules.fall() / rules.cold();
            worst = Math.max(worst, sent.size() / (n + 2 * Math.sqrt(n) + 2));
        }
        return worst;
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void allHaveJustBeenTold(int size, int seconds) {
        warmsIn(seconds);
        fleet(size, false);
        double most = crowd(false, false);
        assertTrue(most <= 1, most + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void reportsShowRoom(int size, int seconds) {
        warmsIn(seconds);
        fleet(size, false);
        double most = crowd(false, true);
        assertTrue(most <= 1, most + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void trafficIsSkewed(int size, int seconds) {
        warmsIn(seconds);
        fleet(size, true);
        double most = crowd(true, true);
        assertTrue(most <= 1, most + " of the budget");
    }

    @ParameterizedTest
    @CsvSource({"2,8", "5,8", "20,8", "30,8", "100,8", "2,20", "5,20", "20,20", "30,20", "100,20"})
    void allHaveJustRestartedThemselves(int size, int seconds) {
        warmsIn(seconds);
        now += 2 * Rig.SECOND;
        for (int i = 0; i < size; i++) {
            relays.add(relay(size, i + 1));
        }
        double most = crowd(false, true);
        assertTrue(most <= 1, most + " of the budget");
    }
}
