import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the project's programs as processes of their own and ends them all. */
final class Programs implements AutoCloseable {
    final Path root;
    private final Journal journal;
    private final List<Process> started = new ArrayList<>();

    Programs(Path root, Journal journal) {
        this.root = root;
        this.journal = journal;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** The value of a key of the deploy file. */
    String deployed(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.indexOf('"', key.length() + 4));
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    /** Starts a relay by the deploy file's command; the arguments are added to it. */
    Process relay(String name, String arguments, Map<String, String> environment, Path log, boolean inheritInput)
            throws IOException {
        return start(name, List.of("/bin/sh", "-c", deployed("run") + " " + arguments), environment, log, inheritInput);
    }

    Process start(String name, List<String> command, Map<String, String> environment, Path log, boolean inheritInput)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.redirectInput(inheritInput
            ? ProcessBuilder.Redirect.INHERIT : ProcessBuilder.Redirect.from(new File("/dev/null")));
        Process process = builder.start();
        synchronized (started) {
            started.add(process);
        }
        journal.line("started %s, process %d", name, process.pid());
        return process;
    }

    /** Runs a command to its end and returns its exit code; its output goes into the record. */
    int run(String name, List<String> command, Map<String, String> environment, Path log, int seconds)
            throws IOException, InterruptedException {
        Process process = start(name, command, environment, log, false);
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            journal.line("%s: not ended after %d s", name, seconds);
            return -1;
        }
        journal.line("%s: exit code %d: %s", name, process.exitValue(),
            Files.readString(log).strip().replace('\n', '|'));
        return process.exitValue();
    }

    static boolean waitFor(Process process, double seconds) throws InterruptedException {
        return process.waitFor((long) (seconds * 1000), TimeUnit.MILLISECONDS);
    }

    /** One operator call; the answer's first line, or the reason why there is none. */
    static String call(int adminPort, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), 1000);
            socket.setSoTimeout(1500);
            socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
            byte[] answer = new byte[256];
            int length = socket.getInputStream().read(answer);
            return length <= 0 ? "no answer" : new String(answer, 0, length, StandardCharsets.US_ASCII).strip();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
    }

    /** A port of the loopback address that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        List<Process> all;
        synchronized (started) {
            all = List.copyOf(started);
        }
        for (Process process : all) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : all) {
            try {
                process.waitFor(3, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
