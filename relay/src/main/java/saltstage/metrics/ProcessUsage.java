package saltstage.metrics;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What this process uses of the platform, and what its host has dropped before any process saw it.
 */
public final class ProcessUsage {
    /** Where a figure cannot be read, as without a descriptor to read it with. */
    public static final long UNKNOWN = -1;

    private static final File THREADS = new File("/proc/self/task");
    private static final File DESCRIPTORS = new File("/proc/self/fd");
    private static final Path HOST_COUNTERS = Path.of("/proc/net/netstat");
    private static final String TCP_COUNTERS = "TcpExt:";
    private static final String LISTEN_OVERFLOWS = "ListenOverflows";

    private ProcessUsage() {}

    /** How many threads it has. */
    public static long threads() {
        return countEntries(THREADS);
    }

    /** How many descriptors it has open. */
    public static long descriptors() {
        return countEntries(DESCRIPTORS);
    }

    private static long countEntries(File folder) {
        String[] names = folder.list();
        return names == null ? UNKNOWN : names.length;
    }

    /**
     * Connections that the host has dropped since its start as the queue of a listening socket was
     * full.
     */
    public static long listenOverflows() {
        try {
            return counter(Files.readAllLines(HOST_COUNTERS), LISTEN_OVERFLOWS);
        } catch (IOException unreadable) {
            return UNKNOWN;
        }
    }

    /** Of two lines with one beginning, the first has the names and the second has the figures. */
    static long counter(List<String> lines, String name) {
        List<String> own = lines.stream().filter(line -> line.startsWith(TCP_COUNTERS)).toList();
        if (own.size() < 2) {
            return UNKNOWN;
        }
        int place = List.of(own.get(0).split(" ")).indexOf(name);
        String[] figures = own.get(1).split(" ");
        return place < 0 || place >= figures.length ? UNKNOWN : Long.parseLong(figures[place]);
    }
}
