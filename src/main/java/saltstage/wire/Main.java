package saltstage.wire;

import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** The command line: {@code wirehost} speaks the wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Exits 0 at the end of input, 1 on malformed input, 2 on a wrong command line. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: saltstage.jar wirehost");
            System.exit(2);
        }
        BufferedReader in =
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        OutputStreamWriter out =
            new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8);
        try {
            new WireHost(in, out).run();
        } catch (Malformed e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }
}
