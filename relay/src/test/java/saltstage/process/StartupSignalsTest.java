package saltstage.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Signals that arrive while the relay starts or reloads. Each test stops the relay at a known
 * point, for example by a named pipe that it reads, so that the signal arrives at that point.
 * Guards against signals that are lost or end the relay with a failure.
 */
@Timeout(60)
class StartupSignalsTest {
    private RelayTestEnvironment environment;
    private Path file;
    private Process process;

    @BeforeEach
    void begin() throws Exception {
        environment = new RelayTestEnvironment();
        file = Files.createTempDirectory("saltstage").resolve("config.json");
    }

    @AfterEach
    void end() throws Exception {
        process.destroyForcibly().waitFor();
        environment.close();
        RelayTestEnvironment.deleteRecursively(file.getParent());
    }

    private void launch() throws Exception {
        start(RelayTestEnvironment.programBuilder(List.of("serve", "--config", file.toString())));
    }

    private void start(ProcessBuilder relay) throws IOException {
        process =
                relay.redirectErrorStream(true)
                        .redirectInput(new File("/dev/null"))
                        .redirectOutput(log().toFile())
                        .start();
    }

    private boolean logged(String text) {
        try {
            return Files.readString(log()).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private Path log() {
        return file.resolveSibling("log");
    }

    /** Opens the write end of the pipe, which blocks until the relay opens it for reading. */
    private OutputStream openOnceRead() throws InterruptedException {
        OutputStream pipe =
                RelayTestEnvironment.runInBackground(() -> Files.newOutputStream(file))
                        .poll(30, TimeUnit.SECONDS);
        assertNotNull(pipe, "the relay does not read the configuration");
        return pipe;
    }

    private void signal(String name) throws Exception {
        runCommand("kill", "-" + name, Long.toString(process.pid()));
    }

    private static void runCommand(String... command) throws Exception {
        assertEquals(0, new ProcessBuilder(command).start().waitFor());
    }

    @Test
    void hangupBeforeTheConfigurationIsReadIsHandledAfterTheStart() throws Exception {
        TestServer newDiscovery = environment.startBackend();
        runCommand("mkfifo", file.toString());
        launch();
        String config = environment.config(4096, RelayTestEnvironment.backendList(1, true));
        try (OutputStream pipe = openOnceRead()) {
            signal("HUP");
            pipe.write(config.getBytes());
        }
        environment.discovery.accept().close(); // the relay has read the configuration and starts
        String newConfig =
                environment.config(4096, newDiscovery, RelayTestEnvironment.backendList(1, true));
        RelayTestEnvironment.runInBackground(
                () -> Files.writeString(file, newConfig)); // completes when the relay reads it
        try (TestConnection watch = newDiscovery.accept()) {
            assertTrue(watch.readLine().startsWith("GET /discovery/hosts?watch=1"));
        }
        assertTrue(process.isAlive());
    }

    @Test
    void relayStartedWithHangupsIgnoredLogsThatItDoesNotReload() throws Exception {
        Files.writeString(
                file, environment.config(4096, RelayTestEnvironment.backendList(1, true)));
        ProcessBuilder relay =
                RelayTestEnvironment.programBuilder(List.of("serve", "--config", file.toString()));
        List<String> commandIgnoringHangup =
                new ArrayList<>(List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        commandIgnoringHangup.addAll(relay.command());
        start(relay.command(commandIgnoringHangup));
        RelayTestEnvironment.await("the relay is ready", () -> logged("relay.ready"));
        assertTrue(logged("reload.ignored"));
        signal("HUP");
        assertTrue(process.isAlive());
    }

    @Test
    void terminationIsHandledWhileAReloadWaitsForItsFile() throws Exception {
        Files.writeString(
                file, environment.config(4096, RelayTestEnvironment.backendList(1, true)));
        launch();
        RelayTestEnvironment.await("the relay is ready", () -> logged("relay.ready"));
        Files.delete(file);
        runCommand("mkfifo", file.toString());
        signal("HUP");
        try (OutputStream pipe = openOnceRead()) {
            signal("TERM");
            assertTrue(
                    process.waitFor(RelayTestEnvironment.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue(), Files.readString(log()));
        }
    }

    @Test
    void terminationBeforeTheFirstListIsAPlannedEnd() throws Exception {
        Files.writeString(
                file,
                environment
                        .config(4096, RelayTestEnvironment.backendList(1, true))
                        .replace("on_request", "pushed"));
        launch();
        try (TestConnection discoveryConnection =
                environment.discovery.accept()) { // does not answer: the start waits for it
            signal("TERM");
            assertTrue(
                    process.waitFor(RelayTestEnvironment.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, process.exitValue(), Files.readString(log()));
        }
    }
}
