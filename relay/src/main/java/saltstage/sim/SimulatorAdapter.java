package saltstage.sim;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltstage.Api;
import saltstage.Api.BackendListKind;
import saltstage.Api.ConnectionReport;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Settings;
import saltstage.LoadBalancer;
import saltstage.config.SettingsReader;

/** Reads batches of events, hands them to the instances and writes their actions. */
public final class SimulatorAdapter {
    private static final long MAX_KEY = (1L << 53) - 1;
    private static final long MAX_ID = (1L << 32) - 1;

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private int lineNumber;
    private long now;

    /** One instance: its settings, for checks, and its decisions. */
    private record Instance(Settings settings, LoadBalancer loadBalancer) {}

    /** A host that reads there and replies here. */
    public SimulatorAdapter(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Runs until the end of input. */
    public void run() throws IOException {
        for (SimulatorMessage line = readMessage(); line != null; line = readMessage()) {
            if (!line.type.equals("FRAME")) {
                throw line.malformed("message", "FRAME expected");
            }
            now = line.number("Ts", 0, Long.MAX_VALUE);
            long batch = line.number("batch", 0, Long.MAX_VALUE);
            reply.setLength(0);
            boolean turn = false;
            while (!turn) {
                SimulatorMessage event = readMessage();
                if (event == null) {
                    throw new MalformedMessageException(
                            "line " + lineNumber + ": input ends before YOUR_TURN");
                }
                turn = event.type.equals("YOUR_TURN");
                if (!turn) {
                    handle(event);
                }
            }
            out.append(reply).append("FINISHED\tbatch=" + batch + "\n").flush();
        }
    }

    private SimulatorMessage readMessage() throws IOException {
        String text = in.readLine();
        while (text != null && text.isEmpty()) {
            lineNumber++;
            text = in.readLine();
        }
        lineNumber++;
        return text == null ? null : new SimulatorMessage(text, lineNumber);
    }

    private void handle(SimulatorMessage e) throws IOException {
        int who = (int) e.number("Who", 0, Integer.MAX_VALUE);
        try {
            dispatch(e, who);
        } catch (MalformedMessageException m) {
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

    private void dispatch(SimulatorMessage e, int who) throws IOException {
        if (e.type.equals("LAUNCH")) {
            Settings settings = new SettingsReader(e.fields(), e::malformed).read();
            long seed = e.number("Salt", Long.MIN_VALUE, Long.MAX_VALUE);
            LoadBalancer logic = new LoadBalancer(settings, seed, new ActionWriter(who));
            instances.put(who, new Instance(settings, logic));
            logic.start(now);
            return;
        }
        Instance at = instances.get(who);
        if (at == null) {
            throw e.malformed("Who", "unknown instance: " + who);
        }
        LoadBalancer logic = at.loadBalancer();
        switch (e.type) {
            case "DISCOVERY" -> handleBackendList(e, logic);
            case "JOB_IN" -> logic.requestReceived(now, readRequest(e, at.settings()));
            case "OPEN" ->
                    logic.connectionRestored(now, readRequest(e, at.settings()), e.require("Host"));
            case "STREAMING" ->
                    logic.connectionEstablished(
                            now, requestId(e), e.number("DelaySeen", 0, Long.MAX_VALUE));
            case "VERDICT" ->
                    logic.attemptEnded(now, requestId(e), readOutcome(e), e.flag("Ended"));
            case "DROPPED" -> logic.clientLeft(now, requestId(e));
            case "NOTICE" -> handleConnectionReport(e, logic);
            case "ECHO" ->
                    logic.probeCompleted(now, e.require("Host"), readOutcome(e), utilization(e));
            case "REMINDER" -> logic.timerFired(now, e.require("Token"));
            case "EXIT" -> instances.remove(who);
            default -> {} // peers are not used; what is unknown is passed over
        }
    }

    private static long requestId(SimulatorMessage e) {
        return e.number("Corr", 0, MAX_ID);
    }

    private static Outcome readOutcome(SimulatorMessage e) {
        return switch (e.require("Code")) {
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
    private static double utilization(SimulatorMessage e) {
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

    private void handleConnectionReport(SimulatorMessage e, LoadBalancer logic) {
        long topic = e.number("Topic", 0, Integer.MAX_VALUE);
        if (topic == 1 || topic == 2) {
            logic.connectionReported(
                    now,
                    requestId(e),
                    topic == 1 ? ConnectionReport.LOAD : ConnectionReport.DELAY,
                    e.decimal("Level"));
        }
    }

    private static Request readRequest(SimulatorMessage e, Settings settings) {
        return new Request(
                requestId(e),
                (int) e.number("Qos", 0, settings.serviceClasses().size() - 1),
                (int) e.number("Billing", 0, 0, Integer.MAX_VALUE),
                e.number("NameKey", Api.NONE, 0, MAX_KEY),
                e.number("Room", Api.NONE, 0, MAX_KEY),
                e.number("Estimate", Api.NONE, 0, Long.MAX_VALUE),
                e.number("Deadline", 0, Long.MAX_VALUE),
                e.flag("Again"),
                e.flag("MidFlow"));
    }

    private void handleBackendList(SimulatorMessage e, LoadBalancer logic) throws IOException {
        BackendListKind kind =
                switch (e.require("Scope")) {
                    case "changes" -> BackendListKind.DELTA;
                    case "all" -> BackendListKind.FULL;
                    case "remembered" -> BackendListKind.CACHED;
                    case "refused" -> BackendListKind.CALL_FAILED;
                    default -> throw e.malformed("Scope", "unknown: " + e.find("Scope"));
                };
        long rows = e.number("RowsIn", 0, 0, Integer.MAX_VALUE);
        List<ListedBackend> servers = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            SimulatorMessage m = readMessage();
            if (m == null || !m.type.equals("M")) {
                throw e.malformed("RowsIn", rows + " entries promised, " + i + " came");
            }
            servers.add(readBackend(m));
        }
        logic.backendListReceived(now, kind, servers);
    }

    private static ListedBackend readBackend(SimulatorMessage m) {
        Health health =
                switch (m.require("Health")) {
                    case "Ready" -> Health.READY;
                    case "Terminating" -> Health.DRAINING;
                    case "Gone" -> Health.GONE;
                    default -> throw m.malformed("Health", "unknown: " + m.find("Health"));
                };
        return new ListedBackend(
                m.require("Host"),
                (int) m.number("Zone", 0, 0, Integer.MAX_VALUE),
                (int) m.number("Cluster", 0, 0, Integer.MAX_VALUE),
                health,
                m.find("Units") == null ? 1 : m.decimal("Units"),
                m.number("Launched", 0, 0, Long.MAX_VALUE));
    }

    /** Writes the actions of one instance. */
    private final class ActionWriter implements Api.Actions {
        private final int instanceId;

        ActionWriter(int who) {
            this.instanceId = who;
        }

        private StringBuilder beginAction(String name) {
            return reply.append(name).append("\tWho=").append(instanceId);
        }

        @Override
        public void sendAttempt(long id, String server, long timeout) {
            beginAction("HAND_OFF").append("\tCorr=").append(id);
            if (timeout > 0) {
                reply.append("\tLimit=").append(timeout);
            }
            reply.append("\tHost=").append(server).append('\n');
        }

        @Override
        public void reject(long id, long retryAfter) {
            beginAction("NOT_NOW").append("\tCorr=").append(id);
            if (retryAfter > 0) {
                reply.append("\tWait=").append(retryAfter);
            }
            reply.append('\n');
        }

        @Override
        public void fail(long id) {
            beginAction("RESPOND_ERROR").append("\tCorr=").append(id).append('\n');
        }

        @Override
        public void moveClient(long id) {
            beginAction("TRANSFER").append("\tCorr=").append(id).append('\n');
        }

        @Override
        public void setTimer(String token, long delay) {
            beginAction("TIMER")
                    .append("\tToken=")
                    .append(token)
                    .append("\tIn=")
                    .append(delay)
                    .append('\n');
        }

        @Override
        public void probe(String server) {
            beginAction("CHECK").append("\tHost=").append(server).append('\n');
        }

        @Override
        public void watchBackendList() {
            beginAction("KEEP_INFORMED").append("\tEnable=1\n");
        }
    }
}
