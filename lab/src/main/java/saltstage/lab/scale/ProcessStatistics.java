package saltstage.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resource usage of a process as the kernel reports it in {@code /proc/PID/stat}, see proc(5).
 *
 * @param processorSeconds user and system time used since the process started, with the resolution
 *     of a clock tick
 * @param residentBytes resident memory
 * @param threadCount number of threads
 */
public record ProcessStatistics(double processorSeconds, long residentBytes, int threadCount) {
    private static final double TICKS_PER_SECOND = 100;
    private static final long PAGE_BYTES = 4_096;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final int THREADS_FIELD = 17;
    private static final int RESIDENT_PAGES_FIELD = 21;

    /** Reads the usage of a running process; throws if the process has ended. */
    public static ProcessStatistics read(long pid) throws IOException {
        String line = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] afterName = line.substring(line.lastIndexOf(')') + 2).split(" ");
        double ticks =
                Double.parseDouble(afterName[USER_TICKS_FIELD])
                        + Double.parseDouble(afterName[SYSTEM_TICKS_FIELD]);
        long pages = Long.parseLong(afterName[RESIDENT_PAGES_FIELD]);
        return new ProcessStatistics(
                ticks / TICKS_PER_SECOND,
                pages * PAGE_BYTES,
                Integer.parseInt(afterName[THREADS_FIELD]));
    }

    /** Resident memory in units of 1,000,000 bytes. */
    public double residentMegabytes() {
        return residentBytes / 1e6;
    }
}
