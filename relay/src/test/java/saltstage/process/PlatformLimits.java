package saltstage.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits of a platform for a relay under test: a shim that is loaded into it, and a descriptor
 * limit.
 */
final class PlatformLimits {
    private static final Path SOURCE = Path.of("src/test/c/platform_limits.c");

    /** What a JVM opens beyond the one jar of the service: the class path of the tests has many. */
    private static final int CLASS_PATH_DESCRIPTORS = 64;

    private static Path library;

    private final Map<String, String> limits = new HashMap<>();
    private int maxDescriptors;

    /** The process may have at most so many threads. */
    PlatformLimits maxThreads(int most) {
        limits.put("LIMIT_THREADS", Integer.toString(most));
        return this;
    }

    /** Starting a thread takes this much longer. */
    PlatformLimits threadStartDelayMicros(int micros) {
        limits.put("DELAY_THREAD_US", Integer.toString(micros));
        return this;
    }

    /** A thread that has ended counts for this much longer. */
    PlatformLimits threadEndDelayMicros(int micros) {
        limits.put("DELAY_END_US", Integer.toString(micros));
        return this;
    }

    /** The queue of a listening socket holds at most so many connections. */
    PlatformLimits maxBacklog(int most) {
        limits.put("LIMIT_BACKLOG", Integer.toString(most));
        return this;
    }

    /**
     * So many of a thousand calls to the network fail for a moment or are short, drawn from this
     * seed.
     */
    PlatformLimits networkFaults(long seed, int perMille) {
        limits.put("FAULT_SEED", Long.toString(seed));
        limits.put("FAULT_PER_MILLE", Integer.toString(perMille));
        return this;
    }

    /** The wall clock is stepped by so many seconds, so long after the start. */
    PlatformLimits clockStep(int seconds, int afterMillis) {
        limits.put("CLOCK_STEP_S", Integer.toString(seconds));
        limits.put("CLOCK_STEP_AFTER_MS", Integer.toString(afterMillis));
        return this;
    }

    /** The process may hold at most so many descriptors, its class path aside. */
    PlatformLimits maxDescriptors(int most) {
        maxDescriptors = most;
        return this;
    }

    /** Puts these limits on a process that is to be started. */
    void applyTo(ProcessBuilder process) throws IOException, InterruptedException {
        process.environment().putAll(limits);
        process.environment().put("LD_PRELOAD", library().toString());
        if (maxDescriptors > 0) {
            String limit = "ulimit -n " + (maxDescriptors + CLASS_PATH_DESCRIPTORS);
            process.command().addAll(0, List.of("/bin/sh", "-c", limit + "; exec \"$@\"", "sh"));
        }
    }

    private static synchronized Path library() throws IOException, InterruptedException {
        if (library == null) {
            Path built =
                    Files.createDirectories(Path.of("target", "shims"))
                            .resolve("platform_limits.so")
                            .toAbsolutePath();
            Process compiler =
                    new ProcessBuilder(
                                    "gcc",
                                    "-shared",
                                    "-fPIC",
                                    "-O2",
                                    "-Wall",
                                    "-Werror",
                                    "-o",
                                    built.toString(),
                                    SOURCE.toString(),
                                    "-ldl")
                            .inheritIO()
                            .start();
            assertEquals("the shim compiles", 0, compiler.waitFor());
            library = built;
        }
        return library;
    }
}
