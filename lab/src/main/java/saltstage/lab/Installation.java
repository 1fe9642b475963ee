package saltstage.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Locates the built relay and the measurements folder, and waits for a relay to be ready. */
public final class Installation {
    private Installation() {}

    /**
     * The root of the repository: SALTSTAGE_HOME, which bin/lab sets, or else the working
     * directory.
     */
    public static Path repositoryRoot() {
        String home = System.getenv("SALTSTAGE_HOME");
        return Path.of(home == null ? "." : home).toAbsolutePath().normalize();
    }

    /** The script that starts the relay, bin/saltstage. */
    public static Path relayScript() {
        return repositoryRoot().resolve("bin/saltstage");
    }

    /** The relay's jar. */
    public static Path relayJar() {
        return repositoryRoot().resolve("relay/target/saltstage.jar");
    }

    /**
     * Waits until the relay at this address answers PING with PONG and returns how long that took.
     * Fails if the relay process exits first or the timeout passes.
     */
    public static Duration awaitPong(InetSocketAddress address, Process relay, Duration timeout)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        while (System.nanoTime() - start < timeout.toNanos()) {
            if (!relay.isAlive()) {
                throw new IOException("the relay exited with status " + relay.exitValue());
            }
            try (Socket socket = new Socket()) {
                socket.connect(address, 500);
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.ISO_8859_1));
                String answer =
                        new BufferedReader(
                                        new InputStreamReader(
                                                socket.getInputStream(),
                                                StandardCharsets.ISO_8859_1))
                                .readLine();
                if ("PONG".equals(answer)) {
                    return Duration.ofNanos(System.nanoTime() - start);
                }
            } catch (IOException notReady) {
                Thread.sleep(2);
            }
        }
        throw new IOException("the relay did not answer PING within " + timeout.toMillis() + " ms");
    }

    /** Deletes a folder and everything in it. */
    public static void deleteRecursively(Path dir) throws IOException {
        List<Path> files;
        try (Stream<Path> paths = Files.walk(dir)) {
            files = paths.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }

    /** The folder that measurements are written to, docs/measurements; created if missing. */
    public static Path measurementsDirectory() throws IOException {
        return Files.createDirectories(repositoryRoot().resolve("docs/measurements"));
    }
}
