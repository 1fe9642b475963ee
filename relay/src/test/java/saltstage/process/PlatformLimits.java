package saltstage.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates the limits of a platform for a relay under test by a preloaded shim library and a
 * descriptor limit.
 */
final class PlatformLimits {
    private static final Path SOURCE = Path.of("src/test/c/platform_limits.c");

    /**
     * Descriptors that the test JVM opens in addition to the single jar of the service: the class
     * path of the tests has many entries.
     */
    private static final int CLASS_PATH_DESCRIPTORS = 64;

    private static Path library;

    private final Map<String, String> limits = new HashMap<>();
    private int maxDescriptors;

    /** Limits the number of threads of the process. */
    PlatformLimits maxThreads(int max) {
        limits.put("LIMIT_THREADS", Integer.toString(max));
        return this;
    }

    /** Delays the start of each thread by this time. */
    PlatformLimits threadStartDelayMicros(int micros) {
        limits.put("DELAY_THREAD_US", Integer.toString(micros));
        return this;
    }

    /** Keeps a thread that has ended in the thread count for this time. */
    PlatformLimits threadEndDelayMicros(int micros) {
        limits.put("DELAY_END_US", Integer.toString(micros));
        return this;
    }

    /** Limits the number of connections in the queue of a listening socket. */
    PlatformLimits maxBacklog(int max) {
        limits.put("LIMIT_BACKLOG", Integer.toString(max));
        return this;
    }

    /**
     * Makes this many of a thousand network calls fail transiently or transfer only part of the
     * data, chosen from this seed.
     */
    PlatformLimits networkFaults(long seed, int perMille) {
        limits.put("FAULT_SEED", Long.toString(seed));
        limits.put("FAULT_PER_MILLE", Integer.toString(perMille));
        return this;
    }

    /** Steps the wall clock by this many seconds, this long after the start. */
    PlatformLimits clockStep(int seconds, int afterMillis) {
        limits.put("CLOCK_STEP_S", Integer.toString(seconds));
        limits.put("CLOCK_STEP_AFTER_MS", Integer.toString(afterMillis));
        return this;
    }

    /** Limits the number of descriptors of the process, not counting its class path. */
    PlatformLimits maxDescriptors(int max) {
        maxDescriptors = max;
        return this;
    }

    /** Applies these limits to a process that is not started yet. */
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
            Path output =
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
                                    output.toString(),
                                    SOURCE.toString(),
                                    "-ldl")
                            .inheritIO()
                            .start();
            assertEquals("exit code of the shim's compiler", 0, compiler.waitFor());
            library = output;
        }
        return library;
    }
}
