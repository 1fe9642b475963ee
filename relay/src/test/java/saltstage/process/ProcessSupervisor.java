package saltstage.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * Takes the platform's role when a process is replaced: holds the listening socket for clients and
 * starts relays that inherit it as descriptor 0. Java cannot pass descriptors on, so this uses the
 * Perl that every Debian installation has.
 */
final class ProcessSupervisor implements AutoCloseable {
    private static final String SUPERVISOR_SCRIPT =
            String.join(
                    "\n",
                    "use strict; use Socket; use POSIX ':sys_wait_h'; $| = 1;",
                    "socket(my $s, PF_INET, SOCK_STREAM, 0) or die; bind($s, sockaddr_in(0,"
                            + " INADDR_LOOPBACK)) or die;",
                    "listen($s, 128) or die; print((sockaddr_in(getsockname($s)))[0], \"\\n\");",
                    "$SIG{CHLD} = sub { while ((my $p = waitpid(-1, WNOHANG)) > 0) {",
                    "print \"ended $p \", $? >> 8, \"\\n\" } };",
                    "while (my $line = <STDIN>) { my $p = fork(); if (!$p) { open(STDIN, '<&', $s)"
                            + " or die;",
                    "exec('/bin/sh', '-c', $line); } print \"started $p\\n\" }");

    /** The state of a thread in /proc while its process is stopped. */
    private static final char STOPPED_STATE = 'T';

    final Map<Long, Integer> exitCodes = new ConcurrentHashMap<>();
    final Path directory = Files.createTempDirectory("saltstage-platform");
    final int port;
    private final Process supervisor =
            new ProcessBuilder("perl", "-e", SUPERVISOR_SCRIPT)
                    .redirectError(ProcessBuilder.Redirect.INHERIT)
                    .start();
    private final BufferedReader supervisorOutput =
            new BufferedReader(
                    new InputStreamReader(supervisor.getInputStream(), StandardCharsets.US_ASCII));
    private final List<Long> startedPids = new ArrayList<>();

    ProcessSupervisor() throws IOException {
        port = Integer.parseInt(supervisorOutput.readLine());
        Thread reader = new Thread(() -> supervisorOutput.lines().forEach(this::recordEvent));
        reader.setDaemon(true);
        reader.start();
    }

    private void recordEvent(String line) {
        String[] words = line.split(" ");
        if (words[0].equals("started")) {
            synchronized (startedPids) {
                startedPids.add(Long.parseLong(words[1]));
                startedPids.notifyAll();
            }
        } else {
            exitCodes.put(Long.parseLong(words[1]), Integer.parseInt(words[2]));
        }
    }

    /** A relay process that this supervisor has started. */
    record Relay(long pid, int admin, Path log) {
        boolean isReady(RelayTestEnvironment environment) {
            try {
                return environment.operatorCall(admin, "STATUS").startsWith("done");
            } catch (IOException notYet) {
                return false;
            }
        }

        boolean hasLogged(String text) {
            try {
                return Files.readString(log).contains(text);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Starts a relay with this configuration and further arguments, and a log of this name. */
    Relay launch(String name, Path config, List<String> furtherArguments) throws Exception {
        int admin = RelayTestEnvironment.freePort();
        Path log = directory.resolve(name + ".log");
        return new Relay(start(config, admin, log, furtherArguments), admin, log);
    }

    /**
     * Starts a relay with this configuration, operator port and further arguments; its log is
     * written to the file.
     */
    private long start(Path config, int adminPort, Path log, List<String> furtherArguments)
            throws Exception {
        List<String> arguments = new ArrayList<>(List.of("serve", "--config", config.toString()));
        arguments.addAll(furtherArguments);
        List<String> command = RelayTestEnvironment.programBuilder(arguments).command();
        String line =
                "TMPDIR="
                        + directory
                        + " GW_LISTEN_FD=0 GW_ADMIN=127.0.0.1:"
                        + adminPort
                        + " exec "
                        + String.join(" ", command)
                        + " > "
                        + log
                        + " 2>&1\n";
        synchronized (startedPids) {
            int startedBefore = startedPids.size();
            supervisor.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
            supervisor.getOutputStream().flush();
            while (startedPids.size() == startedBefore) {
                startedPids.wait(RelayTestEnvironment.AWAIT_TIMEOUT_MS);
            }
            return startedPids.get(startedBefore);
        }
    }

    static void signal(long pid, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /**
     * Stops a process with SIGSTOP. On return none of its threads runs, so none accepts a
     * connection.
     */
    static void stop(long pid) throws Exception {
        signal(pid, "STOP");
        RelayTestEnvironment.await("every thread of " + pid + " has stopped", () -> isStopped(pid));
    }

    private static boolean isStopped(long pid) {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            return threads.allMatch(thread -> threadState(thread) == STOPPED_STATE);
        } catch (IOException unreadable) {
            return false;
        }
    }

    /**
     * Returns the state of a thread, which follows the name in parentheses; {@code '?'} once the
     * thread has ended.
     */
    private static char threadState(Path thread) {
        try {
            String stat = Files.readString(thread.resolve("stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2);
        } catch (IOException ended) {
            return '?';
        }
    }

    /** Kills a relay with SIGKILL; returns once it has ended. */
    void kill(Relay relay) throws Exception {
        signal(relay.pid(), "KILL");
        awaitEnd(relay);
    }

    /** Waits until a relay has ended. */
    void awaitEnd(Relay relay) throws InterruptedException {
        RelayTestEnvironment.await(
                relay.pid() + " has ended", () -> exitCodes.containsKey(relay.pid()));
    }

    @Override
    public void close() throws Exception {
        supervisor.destroy();
        synchronized (startedPids) {
            for (long pid : startedPids) {
                ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
            }
        }
        RelayTestEnvironment.deleteRecursively(directory);
    }
}
