package saltstage.sim;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltstage.Api;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Note;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Server;
import saltstage.Api.Settings;
import saltstage.Logic;
import saltstage.config.SettingsReader;

/** Reads batches of events, hands them to the instances and writes their actions. */
public final class WireHost {
    private static final long MOST_KEY = (1L << 53) - 1;
    private static final long MOST_ID = (1L << 32) - 1;

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private int lineNumber;
    private long now;

    /** One instance: its settings, for checks, and its decisions. */
    private record Instance(Settings settings, Logic logic) {}

    /** A host that reads there and replies here. */
    public WireHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Runs until the end of input. */
    public void run() throws IOException {
        for (Line line = next(); line != null; line = next()) {
            if (!line.message.equals("FRAME")) {
                throw line.malformed("message", "FRAME expected");
            }
            now = line.number("Ts", 0, Long.MAX_VALUE);
            long batch = line.number("batch", 0, Long.MAX_VALUE);
            reply.setLength(0);
            boolean turn = false;
            while (!turn) {
                Line event = next();
                if (event == null) {
                    throw new Malformed("line " + lineNumber + ": input ends before YOUR_TURN");
                }
                turn = event.message.equals("YOUR_TURN");
                if (!turn) {
                    handle(event);
                }
            }
            out.append(reply).append("FINISHED\tbatch=" + batch + "\n").flush();
        }
    }

    private Line next() throws IOException {
        String text = in.readLine();
        while (text != null && text.isEmpty()) {
            lineNumber++;
            text = in.readLine();
        }
        lineNumber++;
        return text == null ? null : new Line(text, lineNumber);
    }

    private void handle(Line e) throws IOException {
        int who = (int) e.number("Who", 0, Integer.MAX_VALUE);
        try {
            dispatch(e, who);
        } catch (Malformed m) {
            throw m;
        } catch (RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            reply.append("CRASH\tWho=")
                    .append(who)
                    .append("\tLine=")
                    .append(
                            (failure + (trace.length > 0 ? " at " + trace[0] : ""))
                                    .replaceAll("\\s+", " "))
                    .append('\n');
        }
    }

    private void dispatch(Line e, int who) throws IOException {
        if (e.message.equals("LAUNCH")) {
            Settings settings = new SettingsReader(e.pairs(), e::malformed).read();
            long seed = e.number("Salt", Long.MIN_VALUE, Long.MAX_VALUE);
            Logic logic = new Logic(settings, seed, new Sink(who));
            instances.put(who, new Instance(settings, logic));
            logic.start(now);
            return;
        }
        Instance at = instances.get(who);
        if (at == null) {
            throw e.malformed("Who", "unknown instance: " + who);
        }
        Logic logic = at.logic();
        switch (e.message) {
            case "DISCOVERY" -> list(e, logic);
            case "JOB_IN" -> logic.request(now, request(e, at.settings()));
            case "OPEN" -> logic.open(now, request(e, at.settings()), e.need("Host"));
            case "STREAMING" ->
                    logic.streaming(now, id(e), e.number("DelaySeen", 0, Long.MAX_VALUE));
            case "VERDICT" -> logic.outcome(now, id(e), outcome(e), e.flag("Ended"));
            case "DROPPED" -> logic.gone(now, id(e));
            case "NOTICE" -> note(e, logic);
            case "ECHO" -> logic.probed(now, e.need("Host"), outcome(e), asked(e));
            case "REMINDER" -> logic.timer(now, e.need("Token"));
            case "EXIT" -> instances.remove(who);
            default -> {} // peers are not used; what is unknown is passed over
        }
    }

    private static long id(Line e) {
        return e.number("Corr", 0, MOST_ID);
    }

    private static Outcome outcome(Line e) {
        return switch (e.need("Code")) {
            case "S" -> Outcome.SERVED;
            case "E" -> Outcome.ERROR;
            case "F" -> Outcome.FULL;
            case "T" -> Outcome.TIMEOUT;
            case "C" -> Outcome.UNREACHABLE;
            case "R" -> Outcome.RESET;
            case "X" -> Outcome.CANCELLED;
            case "N" -> Outcome.MOOT;
            default -> throw e.malformed("Code", "unknown: " + e.find("Code"));
        };
    }

    /** The load asked of the server over what it can do, where its report names it. */
    private static double asked(Line e) {
        String report = e.find("Report");
        for (String pair : report == null ? new String[0] : report.split(",")) {
            if (pair.startsWith("x0:")) {
                try {
                    return Double.parseDouble(pair.substring(3));
                } catch (NumberFormatException bad) {
                    throw e.malformed("Report", "x0 is not a number: " + pair);
                }
            }
        }
        return Api.NONE;
    }

    private void note(Line e, Logic logic) {
        long topic = e.number("Topic", 0, Integer.MAX_VALUE);
        if (topic == 1 || topic == 2) {
            logic.note(now, id(e), topic == 1 ? Note.LOAD : Note.DELAY, e.decimal("Level"));
        }
    }

    private static Request request(Line e, Settings settings) {
        return new Request(
                id(e),
                (int) e.number("Qos", 0, settings.classes().size() - 1),
                (int) e.number("Billing", 0, 0, Integer.MAX_VALUE),
                e.number("NameKey", Api.NONE, 0, MOST_KEY),
                e.number("Room", Api.NONE, 0, MOST_KEY),
                e.number("Estimate", Api.NONE, 0, Long.MAX_VALUE),
                e.number("Deadline", 0, Long.MAX_VALUE),
                e.flag("Again"),
                e.flag("MidFlow"));
    }

    private void list(Line e, Logic logic) throws IOException {
        Listing kind =
                switch (e.need("Scope")) {
                    case "changes" -> Listing.CHANGES;
                    case "all" -> Listing.ALL;
                    case "remembered" -> Listing.REMEMBERED;
                    case "refused" -> Listing.REFUSED;
                    default -> throw e.malformed("Scope", "unknown: " + e.find("Scope"));
                };
        long rows = e.number("RowsIn", 0, 0, Integer.MAX_VALUE);
        List<Server> servers = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            Line m = next();
            if (m == null || !m.message.equals("M")) {
                throw e.malformed("RowsIn", rows + " entries promised, " + i + " came");
            }
            servers.add(server(m));
        }
        logic.list(now, kind, servers);
    }

    private static Server server(Line m) {
        Health health =
                switch (m.need("Health")) {
                    case "Ready" -> Health.READY;
                    case "Terminating" -> Health.DRAINING;
                    case "Gone" -> Health.GONE;
                    default -> throw m.malformed("Health", "unknown: " + m.find("Health"));
                };
        return new Server(
                m.need("Host"),
                (int) m.number("Zone", 0, 0, Integer.MAX_VALUE),
                (int) m.number("Cluster", 0, 0, Integer.MAX_VALUE),
                health,
                m.find("Units") == null ? 1 : m.decimal("Units"),
                m.number("Launched", 0, 0, Long.MAX_VALUE));
    }

    /** Writes the actions of one instance. */
    private final class Sink implements Api.Actions {
        private final int who;

        Sink(int who) {
            this.who = who;
        }

        private StringBuilder action(String name) {
            return reply.append(name).append("\tWho=").append(who);
        }

        @Override
        public void send(long id, String server, long timeout) {
            action("HAND_OFF").append("\tCorr=").append(id);
            if (timeout > 0) {
                reply.append("\tLimit=").append(timeout);
            }
            reply.append("\tHost=").append(server).append('\n');
        }

        @Override
        public void refuse(long id, long retryAfter) {
            action("NOT_NOW").append("\tCorr=").append(id);
            if (retryAfter > 0) {
                reply.append("\tWait=").append(retryAfter);
            }
            reply.append('\n');
        }

        @Override
        public void fail(long id) {
            action("RESPOND_ERROR").append("\tCorr=").append(id).append('\n');
        }

        @Override
        public void move(long id) {
            action("TRANSFER").append("\tCorr=").append(id).append('\n');
        }

        @Override
        public void timer(String token, long delay) {
            action("TIMER")
                    .append("\tToken=")
                    .append(token)
                    .append("\tIn=")
                    .append(delay)
                    .append('\n');
        }

        @Override
        public void probe(String server) {
            action("CHECK").append("\tHost=").append(server).append('\n');
        }

        @Override
        public void watch() {
            action("KEEP_INFORMED").append("\tEnable=1\n");
        }
    }
}
