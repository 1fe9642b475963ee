package saltstage.lab.scale;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Option;
import saltstage.lab.Installation;
import saltstage.net.NettyTransport;
import saltstage.net.Transport;

/**
 * Base class of the scale runs: provides a seed, a scratch folder and event loops, and writes the
 * CSV file at the end.
 */
abstract class ScaleRun implements Callable<Integer> {
    private static final int EVENT_LOOPS = 2;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of all random numbers (default 1)")
    private long seed;

    private final String name;

    ScaleRun(String name) {
        this.name = name;
    }

    /** Executes the run and fills its file; returns whether all checked bounds were met. */
    abstract boolean run(RunContext context) throws Exception;

    /** The inputs and resources of a run. */
    record RunContext(long seed, Path folder, Transport transport, MeasurementFile file) {}

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("scale-" + name + "-");
        MeasurementFile file = new MeasurementFile(name, seed);
        boolean withinBounds;
        try (Transport transport =
                new NettyTransport(
                        EVENT_LOOPS,
                        true,
                        (location, fault) ->
                                System.err.println("fault in " + location + ": " + fault))) {
            withinBounds = run(new RunContext(seed, folder, transport, file));
        }
        file.write(Installation.measurementsDirectory());
        Installation.deleteRecursively(folder);
        return withinBounds ? 0 : 1;
    }

    /** Prints a progress message to standard error, separate from the results. */
    static void printProgress(String text) {
        System.err.println(text);
    }

    static void sleepSeconds(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1_000));
    }
}
