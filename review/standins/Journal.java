import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the seconds since the start. */
final class Journal implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%8.3f ", seconds()) + String.format(format, values));
    }

    /** Writes a line and shows it on standard output, too. */
    void say(String format, Object... values) {
        line(format, values);
        System.out.println(String.format(format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
