package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;

/** The command line: one plain line and the right exit, whatever is wrong. */
public class CommandLineTest {
    private static String run(int exit, String... arguments) throws Exception {
        Process process = World.launch(arguments);
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(output, exit, process.waitFor());
        assertEquals("one line: " + output, 1, output.lines().count());
        return output.trim();
    }

    private static String check(int exit, String config) throws Exception {
        Path file = Files.createTempFile("saltstage", ".json");
        try {
            Files.writeString(file, config);
            return run(exit, "check", "--config", file.toString());
        } finally {
            Files.delete(file);
        }
    }

    private static String sound() throws IOException {
        try (World.Service discovery = new World.Service()) {
            return World.config(1, discovery.endpoint(), 512, World.list(1, true));
        }
    }

    @Test
    public void versionIsOneLine() throws Exception {
        assertTrue(run(0, "version").startsWith("saltstage "));
    }

    @Test
    public void wrongCommandLinesEndWithOneLine() throws Exception {
        assertTrue(run(2, "fly").startsWith("saltstage: "));
        assertTrue(run(2).startsWith("saltstage: "));
        assertTrue(run(2, "serve", "--config").startsWith("saltstage: "));
    }

    @Test
    public void badConfigurationEndsWithOneLineThatNamesTheFault() throws Exception {
        assertEquals("sound: n0, 0 backends known", check(0, sound()));
        assertEquals("saltstage: configuration: JSON, character 0: the text ends early", check(1, ""));
        assertEquals("saltstage: configuration: listen is missing",
            check(1, sound().replace("listen", "lisp")));
        assertEquals("saltstage: configuration: settings: Services.0.Aim: out of range: 0.0",
            check(1, sound().replace("\"Aim\":60000000", "\"Aim\":0")));
        assertEquals("saltstage: configuration: cannot read /no/such/file",
            run(1, "serve", "--config", "/no/such/file"));
    }
}
