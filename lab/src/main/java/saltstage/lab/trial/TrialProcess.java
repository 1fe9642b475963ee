package saltstage.lab.trial;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import saltstage.lab.Installation;

/**
 * A process of a trial that can be started, killed, paused, resumed and started again, always by
 * its own process id.
 */
public final class TrialProcess implements AutoCloseable {
    private static final List<String> JAVA_COMMAND =
            List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx96m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData");

    private final String name;
    private final List<String> command;
    private final File logFile;
    private final Map<String, String> environment = new HashMap<>();
    private Process process;
    private boolean paused;
    private int maxFileKib;

    private TrialProcess(String name, List<String> command, Path dir) {
        this.name = name;
        this.command = command;
        logFile = dir.resolve(name + ".log").toFile();
    }

    /** Creates a process that runs a command of a coordinator jar. */
    static TrialProcess coordinator(String name, Path jar, Path dir, List<String> arguments) {
        return ofJar(name, jar, dir, arguments);
    }

    /** Returns the coordinator jar built in this repository. */
    public static Path coordinatorJar() {
        return Installation.repositoryRoot().resolve("coordinator/target/coordinator.jar");
    }

    /** Creates a process that runs a lab command with the class path of this process. */
    static TrialProcess lab(String name, Path dir, List<String> arguments) {
        List<String> command = new ArrayList<>(JAVA_COMMAND);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "saltstage.lab.Lab"));
        command.addAll(arguments);
        return new TrialProcess(name, command, dir);
    }

    /** Creates a process that runs the relay with additional environment variables. */
    static TrialProcess relay(
            String name, Path dir, Map<String, String> environment, List<String> arguments) {
        TrialProcess relay = ofJar(name, Installation.relayJar(), dir, arguments);
        relay.environment.putAll(environment);
        return relay;
    }

    /** Creates a process that runs a jar. */
    static TrialProcess ofJar(String name, Path jar, Path dir, List<String> arguments) {
        List<String> command = new ArrayList<>(JAVA_COMMAND);
        command.addAll(List.of("-jar", jar.toString()));
        command.addAll(arguments);
        return new TrialProcess(name, command, dir);
    }

    String name() {
        return name;
    }

    /** Limits the size of each file from the next start on, to simulate a full disk. */
    void limitFileSize(int kib) {
        maxFileKib = kib;
    }

    synchronized TrialProcess start() throws IOException {
        List<String> commandLine =
                maxFileKib == 0
                        ? command
                        : new ArrayList<>(
                                List.of(
                                        "bash",
                                        "-c",
                                        "ulimit -f " + maxFileKib + "; exec \"$@\"",
                                        "limited"));
        if (maxFileKib != 0) {
            commandLine.addAll(command);
        }
        ProcessBuilder builder =
                new ProcessBuilder(commandLine)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile));
        builder.environment().putAll(environment);
        process = builder.start();
        paused = false;
        return this;
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    synchronized boolean isPaused() {
        return paused;
    }

    synchronized Process process() {
        return process;
    }

    synchronized long pid() {
        return process.pid();
    }

    synchronized int exitCode() {
        return process.exitValue();
    }

    File logFile() {
        return logFile;
    }

    /** Sends SIGKILL and waits for the end of the process. */
    synchronized void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        paused = false;
    }

    /** Sends SIGTERM and returns whether the process ended in time. */
    boolean terminate(long withinMs) throws InterruptedException {
        process.destroy();
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    private void sendSignal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Suspends the process with SIGSTOP. */
    synchronized void pause() throws IOException, InterruptedException {
        if (isAlive()) {
            sendSignal("STOP");
            paused = true;
        }
    }

    /** Resumes the process with SIGCONT if it is suspended. */
    synchronized void resume() throws IOException, InterruptedException {
        if (isAlive() && paused) {
            sendSignal("CONT");
        }
        paused = false;
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
