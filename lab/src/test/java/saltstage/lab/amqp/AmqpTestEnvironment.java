package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import saltstage.lab.Installation;
import saltstage.lab.fleet.FakeFleet;

/** Runs the built relay as a process in front of a fleet of simulated AMQP backends. */
final class AmqpTestEnvironment implements AutoCloseable {
    private final Path dir;
    private final FakeFleet fleet;
    private final Process relay;

    AmqpTestEnvironment(int backends, String amqpSettings)
            throws IOException, InterruptedException {
        this(backends, amqpSettings, "");
    }

    /** Starts the relay with the JVM flags that it has in service, which bound its memory. */
    static AmqpTestEnvironment withServiceMemory(int backends, String amqpSettings)
            throws IOException, InterruptedException {
        String deployment =
                Files.readString(Installation.repositoryRoot().resolve("deploy/balancer.toml"));
        String flags =
                deployment
                        .replaceAll("(?s).*run = \"exec java (.*?) -jar .*", "$1")
                        .replaceAll("-XX:SharedArchiveFile=\\S+", "");
        return new AmqpTestEnvironment(backends, amqpSettings, flags);
    }

    private AmqpTestEnvironment(int backends, String amqpSettings, String javaOptions)
            throws IOException, InterruptedException {
        dir = Files.createTempDirectory("saltstage-amqp");
        fleet = new FakeFleet(backends, true, 0);
        fleet.writeFiles(dir, fleet.operatorSettings(amqpSettings));
        ProcessBuilder builder =
                new ProcessBuilder(
                                Installation.relayScript().toString(),
                                "serve",
                                "--config",
                                dir.resolve("config.json").toString(),
                                "--settings",
                                dir.resolve("saltstage.hcl").toString())
                        .redirectErrorStream(true)
                        .redirectOutput(dir.resolve("log").toFile());
        builder.environment().put("JAVA_OPTS", javaOptions);
        relay = builder.start();
        String[] address = fleet.listenAddress().split(":");
        Installation.awaitPong(
                new InetSocketAddress(address[0], Integer.parseInt(address[1])),
                relay,
                Duration.ofSeconds(60));
    }

    FakeFleet fleet() {
        return fleet;
    }

    Process relay() {
        return relay;
    }

    InetSocketAddress amqpAddress() {
        String[] address = fleet.amqpListenAddress().split(":");
        return new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    }

    String readLog() throws IOException {
        return Files.readString(dir.resolve("log"));
    }

    void runCommand(String command) throws IOException {
        String response = fleet.runCommand(command);
        if (!response.startsWith("ok")) {
            throw new IllegalArgumentException(command + ": " + response);
        }
    }

    /** Writes new AMQP settings and sends SIGHUP to the relay. */
    void reloadSettings(String amqpSettings) throws IOException, InterruptedException {
        Files.writeString(dir.resolve("saltstage.hcl"), fleet.operatorSettings(amqpSettings));
        new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid())).start().waitFor();
    }

    /** Waits for a condition; the description is built only if the wait times out. */
    void await(Supplier<String> description, BooleanSupplier condition)
            throws InterruptedException, IOException {
        try {
            await("", condition);
        } catch (AssertionError timeout) {
            throw new AssertionError(description.get() + timeout.getMessage(), timeout);
        }
    }

    /** Waits up to 30 s for a condition, and fails with the description and the relay's log. */
    void await(String description, BooleanSupplier condition)
            throws InterruptedException, IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("never: " + description + "\n" + readLog());
            }
            Thread.sleep(10);
        }
    }

    @Override
    public void close() throws IOException, InterruptedException {
        relay.destroy();
        if (!relay.waitFor(20, TimeUnit.SECONDS)) {
            relay.destroyForcibly().waitFor();
        }
        Installation.deleteRecursively(dir);
    }
}
