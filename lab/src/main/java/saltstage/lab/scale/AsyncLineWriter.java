package saltstage.lab.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Writes lines in batches from a thread of its own, so that callers never block on the output. */
final class AsyncLineWriter {
    private final PrintStream out;
    private final BlockingQueue<String> pendingLines = new LinkedBlockingQueue<>();

    AsyncLineWriter(PrintStream out) {
        this.out = out;
    }

    /** Starts the writing thread, a daemon. */
    void start() {
        Thread writer = new Thread(this::writeLoop, "lines");
        writer.setDaemon(true);
        writer.start();
    }

    /** Adds a line to be written, without waiting for it. */
    void enqueue(String line) {
        pendingLines.add(line);
    }

    private void writeLoop() {
        List<String> lines = new ArrayList<>();
        try {
            while (true) {
                lines.add(pendingLines.take());
                pendingLines.drainTo(lines);
                out.print(String.join("\n", lines) + "\n");
                out.flush();
                lines.clear();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
