package saltstage.lab.scale;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A JVM of a scale run that can be killed, paused and started again, always by its own process id.
 */
final class ChildProcess implements AutoCloseable {
    private static final List<String> JVM_FLAGS =
            List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");

    private final List<String> command;
    private final File logFile;
    private final boolean outputPiped;
    private Process process;

    private ChildProcess(List<String> command, File logFile, boolean outputPiped) {
        this.command = command;
        this.logFile = logFile;
        this.outputPiped = outputPiped;
    }

    /** Returns a process that runs a jar and writes its output to a log file named after it. */
    static ChildProcess ofJar(
            String name, Path jar, int heapMegabytes, Path folder, List<String> arguments) {
        List<String> command = javaCommand(heapMegabytes);
        command.addAll(List.of("-jar", jar.toString()));
        command.addAll(arguments);
        return new ChildProcess(command, folder.resolve(name + ".log").toFile(), false);
    }

    /**
     * Returns a process that runs a command of the lab and exchanges lines with this process over
     * standard input and output.
     */
    static ChildProcess ofLab(String name, int heapMegabytes, Path folder, List<String> arguments) {
        List<String> command = javaCommand(heapMegabytes);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "saltstage.lab.Lab"));
        command.addAll(arguments);
        return new ChildProcess(command, folder.resolve(name + ".log").toFile(), true);
    }

    private static List<String> javaCommand(int heapMegabytes) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heapMegabytes + "m");
        command.addAll(JVM_FLAGS);
        return command;
    }

    /** Starts the process, also again after a kill; its log file is appended to. */
    synchronized ChildProcess start() throws IOException {
        ProcessBuilder.Redirect toLog = ProcessBuilder.Redirect.appendTo(logFile);
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(toLog);
        if (!outputPiped) {
            builder.redirectOutput(toLog);
        }
        process = builder.start();
        return this;
    }

    synchronized Process process() {
        return process;
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Reads the kernel's current statistics of the process. */
    ProcessStatistics statistics() throws IOException {
        return ProcessStatistics.read(process().pid());
    }

    /** Sends SIGKILL and waits until the process has ended. */
    void kill() throws InterruptedException {
        process().destroyForcibly().waitFor();
    }

    /** Sends SIGSTOP. */
    void pause() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    /** Sends SIGCONT. */
    void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    private void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process().pid())).start().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        if (process() != null) {
            kill();
        }
    }
}
