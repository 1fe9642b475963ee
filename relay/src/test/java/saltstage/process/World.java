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

/** The real program as a process, and the clients, backends and discovery that it meets, on free ports. */
final class World implements AutoCloseable {
    /** How long a condition is waited for: far more than it takes, so that a slow machine fails nothing. */
    static final int PATIENCE_MS = 30_000;

    final List<String> log = new CopyOnWriteArrayList<>();
    final Service discovery = new Service();
    private final List<AutoCloseable> toClose = new ArrayList<>();
    final int admin = freePort();
    final Map<String, String> environment = new HashMap<>();
    /** Limits of the platform that the relay runs under, or null. */
    NarrowPlatform platform;
    private int port = freePort();
    private Process process;
    private Path file;

    World() throws IOException {
        toClose.add(discovery);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** Something that listens; each accepted connection is a Line. */
    static final class Service implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        Service() throws IOException {
            listener.setSoTimeout(PATIENCE_MS);
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        Line accept() throws IOException {
            return new Line(listener.accept());
        }

        /** Whoever comes within this time, or null. */
        Line accept(int millis) throws IOException {
            listener.setSoTimeout(millis);
            try {
                return accept();
            } catch (SocketTimeoutException nobody) {
                return null;
            } finally {
                listener.setSoTimeout(PATIENCE_MS);
            }
        }

        boolean nobodyComesFor(int millis) throws IOException {
            return accept(millis) == null;
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One connection, line by line. */
    static final class Line implements AutoCloseable {
        final Socket socket;
        private final BufferedReader in;

        Line(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(PATIENCE_MS);
            in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }

        Line raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        Line say(String line) throws IOException {
            return raw(line + "\r\n");
        }

        /** The next line, or null at the end of input. */
        String hear() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A list entry. */
    static String target(String uid, String endpoint, String state) {
        return json("{'uid':'" + uid + "','endpoint':'" + endpoint + "','az':'a','model':'m','pod_group':0,"
            + "'state':'" + state + "','capacity_hint':1.0,'boot_ms':0}");
    }

    /** A list or a change of it. */
    static String list(int rev, boolean all, String... targets) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + String.join(",", targets) + "]}";
    }

    private static String json(String text) {
        return text.replace('\'', '"');
    }

    String config(int sockets, String known) {
        return config(sockets, discovery, known);
    }

    String config(int sockets, Service told, String known) {
        return config(port, told.endpoint(), sockets, known);
    }

    static String config(int port, String discovery, int sockets, String known) {
        return json("{'name':'n0','listen':'127.0.0.1:" + port + "','discovery':'" + discovery
            + "','seed':'8c1f30d27a5be964','limits':{'cores':1.0,'memory_mb':192,'sockets':" + sockets
            + "},'known':" + known + ",'settings':{'Discovery':'on_request','FleetSize':1,'Zone':0,"
            + "'Zones':['a'],'Limits':{'MaxAttempts':3,'ConnectTimeout':200000,'RetryAfter':true,"
            + "'MaxRetryAfter':1500000},'FamilyInfo':{'MessageAim':[60000.0]},"
            + "'Safety':{'AskEvery':1000000},'Realms':[{'Name':'acme'}],"
            + "'Services':[{'Name':'chat','Aim':60000000,'GiveUp':60000000,'Effect':'retryable'}]}}");
    }

    /** Starts the relay with this known list and waits until it is ready. */
    World start(String known) throws Exception {
        return startWith(config(4096, known));
    }

    World startWith(String config) throws Exception {
        return startWith(config, null);
    }

    /** Starts the relay with this configuration and the operator's settings, if there are any. */
    World startWith(String config, Path settings) throws Exception {
        if (file == null) {
            file = Files.createTempFile("saltstage", ".json");
            toClose.add(() -> Files.delete(file));
        }
        Files.writeString(file, config);
        List<String> arguments = new ArrayList<>(List.of("serve", "--config", file.toString()));
        if (settings != null) {
            arguments.addAll(List.of("--settings", settings.toString()));
        }
        ProcessBuilder relay = program(arguments).redirectErrorStream(true)
            .redirectInput(new File("/dev/null"));
        relay.environment().putAll(environment);
        if (platform != null) {
            inService(relay);
            platform.limit(relay);
        }
        process = relay.start();
        Thread reader = new Thread(() -> drainLog(process), "log");
        reader.setDaemon(true);
        reader.start();
        await("the relay is ready, not " + log, () -> logged("relay.ready") || !process.isAlive());
        assertTrue("the relay is ready, not " + log, logged("relay.ready"));
        return this;
    }

    /** Gives it the JVM flags that the relay has in service. */
    private static void inService(ProcessBuilder relay) throws IOException {
        String deployed = Files.readString(Path.of("..", "deploy", "balancer.toml"));
        String flags = deployed.replaceAll("(?s).*run = \"exec java (.*?) -jar .*", "$1");
        relay.command().addAll(1, java.util.Arrays.stream(flags.split(" "))
            .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile")).toList());
    }

    /** Kills the relay outright; what it had logged is forgotten. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        log.clear();
    }

    Path configFile() {
        return file;
    }

    /** Replaces the configuration and tells the relay so. */
    void reload(String config) throws Exception {
        Files.writeString(file, config);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** The program with these arguments, standard error merged into its output. */
    static Process launch(String... arguments) throws IOException {
        return program(List.of(arguments)).redirectErrorStream(true)
            .redirectInput(new File("/dev/null")).start();
    }

    /** The program with these arguments, to be started. */
    static ProcessBuilder program(List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
            "-cp", System.getProperty("java.class.path"), "saltstage.lifecycle.Main"));
        command.addAll(arguments);
        return new ProcessBuilder(command);
    }

    private void drainLog(Process from) {
        new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8)).lines()
            .forEach(log::add);
    }

    boolean logged(String part) {
        return log.stream().anyMatch(line -> line.contains(part));
    }

    /** Waits for a line that the relay has written: it is read from its output by another thread. */
    void awaitLogged(String part) throws InterruptedException {
        await("the log says " + part, () -> logged(part));
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        for (int waited = 0; !condition.getAsBoolean(); waited += 10) {
            assertTrue("waited in vain until " + what, waited < PATIENCE_MS);
            Thread.sleep(10);
        }
    }

    /** A connection of an operator's to this port. */
    Line operator(int at) throws IOException {
        Line line = new Line(new Socket("127.0.0.1", at));
        toClose.add(line);
        return line;
    }

    /** Deletes a folder and what is in it; a relay that is still ending may leave a file. */
    static void delete(Path folder) throws IOException {
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** What an operator's call is answered, all lines. */
    String call(int at, String call) throws IOException {
        try (Line line = operator(at).say(call)) {
            StringBuilder all = new StringBuilder();
            for (String heard = line.hear(); heard != null; heard = line.hear()) {
                all.append(heard).append('\n');
            }
            return all.toString();
        }
    }

    String call(String call) throws IOException {
        return call(admin, call);
    }

    /** Where clients come. */
    int clientPort() {
        return port;
    }

    /** Clients come to this port from now on. */
    void clientsAt(int where) {
        port = where;
    }

    /** A new client connection. */
    Line client() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), PATIENCE_MS);
        Line line = new Line(socket);
        toClose.add(line);
        return line;
    }

    /** A client that has asked for a connection. */
    Line open(String id, int patienceMs) throws IOException {
        return client().say("OPEN " + id + " 7f3a9c21e0b4d655 c=chat,t=acme,d=" + patienceMs + ",g=5c0f6e1a");
    }

    /** Takes the relay's next connection at a backend up to UP, and passes UP to the client. */
    Line stand(Service backend, Line client) throws IOException {
        Line side = backend.accept();
        toClose.add(side);
        assertTrue(side.hear().startsWith("OPEN "));
        side.say("UP r1");
        assertTrue("UP r1".equals(client.hear()));
        return side;
    }

    /** A backend that will be closed with the world. */
    Service backend() throws IOException {
        Service service = new Service();
        toClose.add(service);
        return service;
    }

    /** Takes a watch of the relay's and answers it with its head and these objects, one chunk each. */
    Line watched(String... objects) throws IOException {
        return watched(discovery, objects);
    }

    Line watched(Service asked, String... objects) throws IOException {
        Line watch = asked.accept();
        toClose.add(watch);
        String request = watch.hear();
        log.add("asked " + request);
        for (String line = request; !line.isEmpty();) {
            line = watch.hear();
        }
        watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String object : objects) {
            chunk(watch, object + "\n");
        }
        return watch;
    }

    static void chunk(Line watch, String text) throws IOException {
        watch.raw(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    Process process() {
        return process;
    }

    boolean waitForEnd() throws InterruptedException {
        return process.waitFor(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Does something on a thread of its own; what it returns can be awaited. */
    static <T> BlockingQueue<T> aside(java.util.concurrent.Callable<T> work) {
        BlockingQueue<T> result = new LinkedBlockingQueue<>();
        Thread thread = new Thread(() -> {
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
        for (int i = toClose.size() - 1; i >= 0; i--) {
            toClose.get(i).close();
        }
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
