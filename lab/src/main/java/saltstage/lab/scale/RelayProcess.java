package saltstage.lab.scale;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltstage.lab.Installation;

/** A real relay process, started with the command and JVM flags of {@code deploy/balancer.toml}. */
final class RelayProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Pattern RUN_COMMAND_PATTERN =
            Pattern.compile("(?m)^run = \"exec ([^\"]+)\"");
    private static final String CONFIGURATION_TEMPLATE =
            """
            {"name":"relay","listen":"LISTEN","discovery":"DISCOVERY","seed":"1",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":SOCKETS},
             "known":{"rev":0,"all":true,"targets":[]},
             "settings":{"Discovery":"on_request","FleetSize":1,"Zone":0,"Zones":["a"],
              "Limits":{"MaxAttempts":6,"ConnectTimeout":250000,"RetryAfter":true,"MaxRetryAfter":1500000,
                        "Probes":PROBES},
              "Report":{"Fields":["x0","queue"],"How":"probe"},
              "FamilyInfo":{"MessageAim":[60000.0]},
              "Safety":{"DrainGrace":1000000,"AskEvery":6000000,"ColdFrom":0.31,"Cold":8700000,
                        "TipMultiple":3.0,"Fall":3000000},
              "Realms":[{"Name":"tenant"}],
              "Services":[{"Name":"lines","Aim":500000,"GiveUp":2000000,"Effect":"retryable"}]}}
            """;

    private final InetSocketAddress listenAddress;
    private final Process process;
    private final File logFile;

    /** Starts a relay that follows this discovery service and probes backends. */
    RelayProcess(Path folder, InetSocketAddress discovery, int sockets)
            throws IOException, InterruptedException {
        this(folder, discovery, sockets, true);
    }

    /** Starts a relay that follows this discovery service, with or without probes. */
    RelayProcess(Path folder, InetSocketAddress discovery, int sockets, boolean probes)
            throws IOException, InterruptedException {
        this(folder, discovery, sockets, probes, "");
    }

    /** Starts a relay with these operator settings and waits until it answers a ping. */
    RelayProcess(
            Path folder, InetSocketAddress discovery, int sockets, boolean probes, String settings)
            throws IOException, InterruptedException {
        listenAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        Path configurationFile = Files.createDirectories(folder).resolve("relay.json");
        Files.writeString(
                configurationFile,
                CONFIGURATION_TEMPLATE
                        .replace("LISTEN", formatAddress(listenAddress))
                        .replace("DISCOVERY", formatAddress(discovery))
                        .replace("SOCKETS", Integer.toString(sockets))
                        .replace("PROBES", Boolean.toString(probes)));
        Path settingsFile = Files.writeString(folder.resolve("saltstage.hcl"), settings);
        logFile = folder.resolve("relay.log").toFile();
        List<String> command = new ArrayList<>(deployedCommand());
        command.addAll(
                List.of(
                        "--config",
                        configurationFile.toString(),
                        "--settings",
                        settingsFile.toString()));
        process =
                new ProcessBuilder(command)
                        .directory(Installation.repositoryRoot().toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(logFile)
                        .start();
        Installation.awaitPong(listenAddress, process, START_TIMEOUT);
    }

    private static List<String> deployedCommand() throws IOException {
        Matcher runCommand =
                RUN_COMMAND_PATTERN.matcher(
                        Files.readString(
                                Installation.repositoryRoot().resolve("deploy/balancer.toml")));
        if (!runCommand.find()) {
            throw new IOException("deploy/balancer.toml has no command that runs a relay");
        }
        return List.of(runCommand.group(1).trim().split("\\s+"));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The address to which clients connect. */
    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The current resource usage of the process. */
    ProcessStatistics statistics() throws IOException {
        return ProcessStatistics.read(process.pid());
    }

    /** The number of file descriptors that the process has open. */
    long openDescriptors() throws IOException {
        try (var descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return descriptors.count();
        }
    }

    /** The number of log lines that contain this text. */
    long countLogLines(String text) throws IOException {
        try (var lines =
                Files.lines(logFile.toPath(), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
