package saltstage.lab.scale;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Writes lines from one thread, several at once, so that who tells something never waits. */
final class HollowLines {
    private final PrintStream out;
    private final BlockingQueue<String> waiting = new LinkedBlockingQueue<>();

    HollowLines(PrintStream out) {
        this.out = out;
    }

    void start() {
        Thread writer = new Thread(this::write, "lines");
        writer.setDaemon(true);
        writer.start();
    }

    void say(String line) {
        waiting.add(line);
    }

    private void write() {
        List<String> lines = new ArrayList<>();
        try {
            while (true) {
                lines.add(waiting.take());
                waiting.drainTo(lines);
                out.print(String.join("\n", lines) + "\n");
                out.flush();
                lines.clear();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
