package saltstage.metrics;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Operating system resources that this process uses, and connections that its machine has dropped
 * before any process could accept them.
 */
public final class ProcessUsage {
    /** The value cannot be read, for example because no descriptor is free to read it. */
    public static final long UNKNOWN = -1;

    private static final File THREADS = new File("/proc/self/task");
    private static final File DESCRIPTORS = new File("/proc/self/fd");
    private static final Path HOST_COUNTERS = Path.of("/proc/net/netstat");
    private static final String TCP_COUNTERS = "TcpExt:";
    private static final String LISTEN_OVERFLOWS = "ListenOverflows";

    private ProcessUsage() {}

    /** Returns the number of threads of this process. */
    public static long threads() {
        return countEntries(THREADS);
    }

    /** Returns the number of open descriptors of this process. */
    public static long descriptors() {
        return countEntries(DESCRIPTORS);
    }

    private static long countEntries(File folder) {
        String[] names = folder.list();
        return names == null ? UNKNOWN : names.length;
    }

    /**
     * Returns the number of connections that the machine has dropped since its start because the
     * accept queue of a listening socket was full.
     */
    public static long listenOverflows() {
        try {
            return counter(Files.readAllLines(HOST_COUNTERS), LISTEN_OVERFLOWS);
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Reads a counter from two lines with the same prefix: one of names and one of values. */
    static long counter(List<String> lines, String name) {
        List<String> tcpLines =
                lines.stream().filter(line -> line.startsWith(TCP_COUNTERS)).toList();
        if (tcpLines.size() < 2) {
            return UNKNOWN;
        }
        int index = List.of(tcpLines.get(0).split(" ")).indexOf(name);
        String[] values = tcpLines.get(1).split(" ");
        return index < 0 || index >= values.length ? UNKNOWN : Long.parseLong(values[index]);
    }
}
