package saltstage.process;

import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs the real program as a process, with the clients, backends and discovery server that it
 * communicates with, on free ports.
 */
final class RelayTestEnvironment implements AutoCloseable {
    /**
     * The time to wait for a condition: far longer than it takes, so that a slow machine does not
     * fail a test.
     */
    static final int AWAIT_TIMEOUT_MS = 30_000;

    final List<String> logLines = new CopyOnWriteArrayList<>();
    final TestServer discovery = new TestServer();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    final int adminPort = freePort();
    final Map<String, String> environmentVariables = new HashMap<>();

    /** Limits of the platform that the relay runs under, or null for none. */
    PlatformLimits platformLimits;

    private int clientPort = freePort();
    private Process process;
    private Path configFile;

    RelayTestEnvironment() throws IOException {
        closeables.add(discovery);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** A listening server whose accepted connections are read line by line. */
    static final class TestServer implements AutoCloseable {
        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        TestServer() throws IOException {
            listener.setSoTimeout(AWAIT_TIMEOUT_MS);
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        TestConnection accept() throws IOException {
            return new TestConnection(listener.accept());
        }

        /** Returns the next connection accepted within this time, or null. */
        TestConnection accept(int millis) throws IOException {
            listener.setSoTimeout(millis);
            try {
                return accept();
            } catch (SocketTimeoutException timeout) {
                return null;
            } finally {
                listener.setSoTimeout(AWAIT_TIMEOUT_MS);
            }
        }

        boolean hasNoConnectionWithin(int millis) throws IOException {
            return accept(millis) == null;
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** A connection that is read and written line by line. */
    static final class TestConnection implements AutoCloseable {
        final Socket socket;
        private final BufferedReader in;

        TestConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(AWAIT_TIMEOUT_MS);
            in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }

        TestConnection sendRaw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        TestConnection sendLine(String line) throws IOException {
            return sendRaw(line + "\r\n");
        }

        /** Returns the next line, or null at the end of the input. */
        String readLine() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns an entry of a backend list as JSON. */
    static String backendEntry(String uid, String endpoint, String state) {
        return withDoubleQuotes(
                "{'uid':'"
                        + uid
                        + "','endpoint':'"
                        + endpoint
                        + "','az':'a','model':'m','pod_group':0,"
                        + "'state':'"
                        + state
                        + "','capacity_hint':1.0,'boot_ms':0}");
    }

    /** Returns a full backend list or a delta as JSON. */
    static String backendList(int rev, boolean full, String... targets) {
        return "{\"rev\":"
                + rev
                + ",\"all\":"
                + full
                + ",\"targets\":["
                + String.join(",", targets)
                + "]}";
    }

    private static String withDoubleQuotes(String text) {
        return text.replace('\'', '"');
    }

    String config(int sockets, String known) {
        return config(sockets, discovery, known);
    }

    String config(int sockets, TestServer server, String known) {
        return config(clientPort, server.endpoint(), sockets, known);
    }

    static String config(int port, String discovery, int sockets, String known) {
        return withDoubleQuotes(
                "{'name':'n0','listen':'127.0.0.1:"
                        + port
                        + "','discovery':'"
                        + discovery
                        + "','seed':'8c1f30d27a5be964','limits':{'cores':1.0,'memory_mb':192,'sockets':"
                        + sockets
                        + "},'known':"
                        + known
                        + ",'settings':{'Discovery':'on_request','FleetSize':1,'Zone':0,"
                        + "'Zones':['a'],'Limits':{'MaxAttempts':3,'ConnectTimeout':200000,'RetryAfter':true,"
                        + "'MaxRetryAfter':1500000},'FamilyInfo':{'MessageAim':[60000.0]},"
                        + "'Safety':{'AskEvery':1000000},'Realms':[{'Name':'acme'}],"
                        + "'Services':[{'Name':'chat','Aim':60000000,'GiveUp':60000000,"
                        + "'Effect':'retryable'}]}}");
    }

    /** Starts the relay with this initial backend list and waits until it is ready. */
    RelayTestEnvironment start(String known) throws Exception {
        return startWith(config(4096, known));
    }

    /** Starts the relay with this configuration and waits until it is ready. */
    RelayTestEnvironment startWith(String config) throws Exception {
        return startWith(config, null);
    }

    /** Starts the relay with this configuration and the operator's settings, which may be null. */
    RelayTestEnvironment startWith(String config, Path settings) throws Exception {
        if (configFile == null) {
            configFile = Files.createTempFile("saltstage", ".json");
            closeables.add(() -> Files.delete(configFile));
        }
        Files.writeString(configFile, config);
        List<String> arguments =
                new ArrayList<>(List.of("serve", "--config", configFile.toString()));
        if (settings != null) {
            arguments.addAll(List.of("--settings", settings.toString()));
        }
        ProcessBuilder relay =
                programBuilder(arguments)
                        .redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"));
        relay.environment().putAll(environmentVariables);
        if (platformLimits != null) {
            addProductionFlags(relay);
            platformLimits.applyTo(relay);
        }
        process = relay.start();
        Thread reader = new Thread(() -> readLog(process), "log");
        reader.setDaemon(true);
        reader.start();
        await(
                "the relay is ready, not " + logLines,
                () -> hasLogged("relay.ready") || !process.isAlive());
        assertTrue("the relay is ready, not " + logLines, hasLogged("relay.ready"));
        return this;
    }

    /** Adds the JVM flags that the deployed relay runs with. */
    private static void addProductionFlags(ProcessBuilder relay) throws IOException {
        String deployment = Files.readString(Path.of("..", "deploy", "balancer.toml"));
        String flags = deployment.replaceAll("(?s).*run = \"exec java (.*?) -jar .*", "$1");
        relay.command()
                .addAll(
                        1,
                        java.util.Arrays.stream(flags.split(" "))
                                .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile"))
                                .toList());
    }

    /** Kills the relay and clears the log lines collected from it. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        logLines.clear();
    }

    Path configFile() {
        return configFile;
    }

    /** Replaces the configuration file and signals the relay to reload it. */
    void reload(String config) throws Exception {
        Files.writeString(configFile, config);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** Starts the program with these arguments, with standard error merged into its output. */
    static Process launch(String... arguments) throws IOException {
        return programBuilder(List.of(arguments))
                .redirectErrorStream(true)
                .redirectInput(new File("/dev/null"))
                .start();
    }

    /** Returns a builder of the program with these arguments, not yet started. */
    static ProcessBuilder programBuilder(List<String> arguments) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "saltstage.lifecycle.Main"));
        command.addAll(arguments);
        return new ProcessBuilder(command);
    }

    private void readLog(Process relay) {
        new BufferedReader(new InputStreamReader(relay.getInputStream(), StandardCharsets.UTF_8))
                .lines()
                .forEach(logLines::add);
    }

    boolean hasLogged(String part) {
        return logLines.stream().anyMatch(line -> line.contains(part));
    }

    /**
     * Waits until the relay has logged this text. Another thread reads the output, so the line may
     * appear later than its effects.
     */
    void awaitLogged(String part) throws InterruptedException {
        await("the log says " + part, () -> hasLogged(part));
    }

    static void await(String event, BooleanSupplier condition) throws InterruptedException {
        for (int waited = 0; !condition.getAsBoolean(); waited += 10) {
            assertTrue("timed out waiting until " + event, waited < AWAIT_TIMEOUT_MS);
            Thread.sleep(10);
        }
    }

    /** Opens an operator connection to this port. */
    TestConnection connectOperator(int port) throws IOException {
        TestConnection connection = new TestConnection(new Socket("127.0.0.1", port));
        closeables.add(connection);
        return connection;
    }

    /**
     * Deletes a directory and its contents; a relay that is still shutting down may leave a file
     * behind.
     */
    static void deleteRecursively(Path folder) throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    /** Makes an operator call and returns all lines of the answer. */
    String operatorCall(int port, String call) throws IOException {
        try (TestConnection connection = connectOperator(port).sendLine(call)) {
            StringBuilder answer = new StringBuilder();
            for (String line = connection.readLine(); line != null; line = connection.readLine()) {
                answer.append(line).append('\n');
            }
            return answer.toString();
        }
    }

    String operatorCall(String call) throws IOException {
        return operatorCall(adminPort, call);
    }

    /** Returns the port that clients connect to. */
    int clientPort() {
        return clientPort;
    }

    /** Sets the port that clients connect to from now on. */
    void setClientPort(int port) {
        clientPort = port;
    }

    /** Opens a new client connection. */
    TestConnection connectClient() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", clientPort), AWAIT_TIMEOUT_MS);
        TestConnection connection = new TestConnection(socket);
        closeables.add(connection);
        return connection;
    }

    /** Opens a client connection and sends an OPEN request on it. */
    TestConnection sendOpen(String id, int timeoutMs) throws IOException {
        return connectClient()
                .sendLine(
                        "OPEN "
                                + id
                                + " 7f3a9c21e0b4d655 c=chat,t=acme,d="
                                + timeoutMs
                                + ",g=5c0f6e1a");
    }

    /**
     * Accepts the relay's next connection at a backend, answers UP and checks that the client
     * receives it.
     */
    TestConnection establish(TestServer backend, TestConnection client) throws IOException {
        TestConnection side = backend.accept();
        closeables.add(side);
        assertTrue(side.readLine().startsWith("OPEN "));
        side.sendLine("UP r1");
        assertTrue("UP r1".equals(client.readLine()));
        return side;
    }

    /** Starts a backend that is closed together with this environment. */
    TestServer startBackend() throws IOException {
        TestServer backend = new TestServer();
        closeables.add(backend);
        return backend;
    }

    /**
     * Accepts a watch from the relay and answers it with a response head and these objects, one per
     * chunk.
     */
    TestConnection answerWatch(String... objects) throws IOException {
        return answerWatch(discovery, objects);
    }

    TestConnection answerWatch(TestServer server, String... objects) throws IOException {
        TestConnection watch = server.accept();
        closeables.add(watch);
        String request = watch.readLine();
        logLines.add("asked " + request);
        for (String line = request; !line.isEmpty(); ) {
            line = watch.readLine();
        }
        watch.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String object : objects) {
            sendChunk(watch, object + "\n");
        }
        return watch;
    }

    static void sendChunk(TestConnection watch, String text) throws IOException {
        watch.sendRaw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    Process process() {
        return process;
    }

    boolean waitForExit() throws InterruptedException {
        return process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs the work on a thread of its own; the returned queue receives its result. */
    static <T> BlockingQueue<T> runInBackground(java.util.concurrent.Callable<T> work) {
        BlockingQueue<T> result = new LinkedBlockingQueue<>();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                result.add(work.call());
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return result;
    }

    @Override
    public void close() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
