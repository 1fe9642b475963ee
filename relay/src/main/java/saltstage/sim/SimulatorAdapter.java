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

/**
 * Connects load balancers to a simulator: reads batches of events, passes them to the instances and
 * writes their actions.
 */
public final class SimulatorAdapter {
    private static final long MAX_KEY = (1L << 53) - 1;
    private static final long MAX_ID = (1L << 32) - 1;

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private int lineNumber;
    private long now;

    /** One simulated relay; its settings are kept to check the requests. */
    private record Instance(Settings settings, LoadBalancer loadBalancer) {}

    /** Creates an adapter that reads events from {@code in} and writes actions to {@code out}. */
    public SimulatorAdapter(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /** Handles batches until the end of the input. */
    public void run() throws IOException {
        for (SimulatorMessage frame = readMessage(); frame != null; frame = readMessage()) {
            if (!frame.type.equals("FRAME")) {
                throw frame.malformed("message", "FRAME expected");
            }
            now = frame.number("Ts", 0, Long.MAX_VALUE);
            long batch = frame.number("batch", 0, Long.MAX_VALUE);
            reply.setLength(0);
            boolean batchComplete = false;
            while (!batchComplete) {
                SimulatorMessage event = readMessage();
                if (event == null) {
                    throw new MalformedMessageException(
                            "line " + lineNumber + ": input ends before YOUR_TURN");
                }
                batchComplete = event.type.equals("YOUR_TURN");
                if (!batchComplete) {
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

    private void handle(SimulatorMessage message) throws IOException {
        int instanceId = (int) message.number("Who", 0, Integer.MAX_VALUE);
        try {
            dispatch(message, instanceId);
        } catch (MalformedMessageException malformed) {
            throw malformed;
        } catch (RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            reply.append("CRASH\tWho=")
                    .append(instanceId)
                    .append("\tLine=")
                    .append(
                            (failure + (trace.length > 0 ? " at " + trace[0] : ""))
                                    .replaceAll("\\s+", " "))
                    .append('\n');
        }
    }

    private void dispatch(SimulatorMessage message, int instanceId) throws IOException {
        if (message.type.equals("LAUNCH")) {
            Settings settings = new SettingsReader(message.fields(), message::malformed).read();
            long seed = message.number("Salt", Long.MIN_VALUE, Long.MAX_VALUE);
            LoadBalancer loadBalancer =
                    new LoadBalancer(settings, seed, new ActionWriter(instanceId));
            instances.put(instanceId, new Instance(settings, loadBalancer));
            loadBalancer.start(now);
            return;
        }
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw message.malformed("Who", "unknown instance: " + instanceId);
        }
        LoadBalancer loadBalancer = instance.loadBalancer();
        switch (message.type) {
            case "DISCOVERY" -> handleBackendList(message, loadBalancer);
            case "JOB_IN" ->
                    loadBalancer.requestReceived(now, readRequest(message, instance.settings()));
            case "OPEN" ->
                    loadBalancer.connectionRestored(
                            now,
                            readRequest(message, instance.settings()),
                            message.require("Host"));
            case "STREAMING" ->
                    loadBalancer.connectionEstablished(
                            now,
                            requestId(message),
                            message.number("DelaySeen", 0, Long.MAX_VALUE));
            case "VERDICT" ->
                    loadBalancer.attemptEnded(
                            now, requestId(message), readOutcome(message), message.flag("Ended"));
            case "DROPPED" -> loadBalancer.clientLeft(now, requestId(message));
            case "NOTICE" -> handleConnectionReport(message, loadBalancer);
            case "ECHO" ->
                    loadBalancer.probeCompleted(
                            now,
                            message.require("Host"),
                            readOutcome(message),
                            utilization(message));
            case "REMINDER" -> loadBalancer.timerFired(now, message.require("Token"));
            case "EXIT" -> instances.remove(instanceId);
            default -> {} // messages between relays are not used, and unknown types are ignored
        }
    }

    private static long requestId(SimulatorMessage message) {
        return message.number("Corr", 0, MAX_ID);
    }

    private static Outcome readOutcome(SimulatorMessage message) {
        return switch (message.require("Code")) {
            case "S" -> Outcome.SERVED;
            case "E" -> Outcome.ERROR;
            case "F" -> Outcome.FULL;
            case "T" -> Outcome.TIMEOUT;
            case "C" -> Outcome.UNREACHABLE;
            case "R" -> Outcome.RESET;
            case "X" -> Outcome.CANCELLED;
            case "N" -> Outcome.MOOT;
            default -> throw message.malformed("Code", "unknown: " + message.find("Code"));
        };
    }

    /** Returns load over capacity from the backend's report, or {@link Api#NONE} if it has none. */
    private static double utilization(SimulatorMessage message) {
        String report = message.find("Report");
        for (String pair : report == null ? new String[0] : report.split(",")) {
            if (pair.startsWith("x0:")) {
                try {
                    return Double.parseDouble(pair.substring(3));
                } catch (NumberFormatException bad) {
                    throw message.malformed("Report", "x0 is not a number: " + pair);
                }
            }
        }
        return Api.NONE;
    }

    private void handleConnectionReport(SimulatorMessage message, LoadBalancer loadBalancer) {
        long topic = message.number("Topic", 0, Integer.MAX_VALUE);
        if (topic == 1 || topic == 2) {
            loadBalancer.connectionReported(
                    now,
                    requestId(message),
                    topic == 1 ? ConnectionReport.LOAD : ConnectionReport.DELAY,
                    message.decimal("Level"));
        }
    }

    private static Request readRequest(SimulatorMessage message, Settings settings) {
        return new Request(
                requestId(message),
                (int) message.number("Qos", 0, settings.serviceClasses().size() - 1),
                (int) message.number("Billing", 0, 0, Integer.MAX_VALUE),
                message.number("NameKey", Api.NONE, 0, MAX_KEY),
                message.number("Room", Api.NONE, 0, MAX_KEY),
                message.number("Estimate", Api.NONE, 0, Long.MAX_VALUE),
                message.number("Deadline", 0, Long.MAX_VALUE),
                message.flag("Again"),
                message.flag("MidFlow"));
    }

    private void handleBackendList(SimulatorMessage message, LoadBalancer loadBalancer)
            throws IOException {
        BackendListKind kind =
                switch (message.require("Scope")) {
                    case "changes" -> BackendListKind.DELTA;
                    case "all" -> BackendListKind.FULL;
                    case "remembered" -> BackendListKind.CACHED;
                    case "refused" -> BackendListKind.CALL_FAILED;
                    default ->
                            throw message.malformed("Scope", "unknown: " + message.find("Scope"));
                };
        long rowCount = message.number("RowsIn", 0, 0, Integer.MAX_VALUE);
        List<ListedBackend> backends = new ArrayList<>();
        for (long i = 0; i < rowCount; i++) {
            SimulatorMessage row = readMessage();
            if (row == null || !row.type.equals("M")) {
                throw message.malformed("RowsIn", rowCount + " entries promised, " + i + " came");
            }
            backends.add(readBackend(row));
        }
        loadBalancer.backendListReceived(now, kind, backends);
    }

    private static ListedBackend readBackend(SimulatorMessage row) {
        Health health =
                switch (row.require("Health")) {
                    case "Ready" -> Health.READY;
                    case "Terminating" -> Health.DRAINING;
                    case "Gone" -> Health.GONE;
                    default -> throw row.malformed("Health", "unknown: " + row.find("Health"));
                };
        return new ListedBackend(
                row.require("Host"),
                (int) row.number("Zone", 0, 0, Integer.MAX_VALUE),
                (int) row.number("Cluster", 0, 0, Integer.MAX_VALUE),
                health,
                row.find("Units") == null ? 1 : row.decimal("Units"),
                row.number("Launched", 0, 0, Long.MAX_VALUE));
    }

    /** Writes the actions of one instance to the reply. */
    private final class ActionWriter implements Api.Actions {
        private final int instanceId;

        ActionWriter(int instanceId) {
            this.instanceId = instanceId;
        }

        private StringBuilder beginAction(String name) {
            return reply.append(name).append("\tWho=").append(instanceId);
        }

        @Override
        public void sendAttempt(long id, String backendId, long timeout) {
            beginAction("HAND_OFF").append("\tCorr=").append(id);
            if (timeout > 0) {
                reply.append("\tLimit=").append(timeout);
            }
            reply.append("\tHost=").append(backendId).append('\n');
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
        public void probe(String backendId) {
            beginAction("CHECK").append("\tHost=").append(backendId).append('\n');
        }

        @Override
        public void watchBackendList() {
            beginAction("KEEP_INFORMED").append("\tEnable=1\n");
        }
    }
}
