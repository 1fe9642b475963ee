package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;

/** Errors on the command line or in files: one line of output and the documented exit code. */
public class CommandLineTest {
    private static String run(int expectedExitCode, String... arguments) throws Exception {
        Process process = RelayTestEnvironment.launch(arguments);
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(output, expectedExitCode, process.waitFor());
        assertEquals("one line: " + output, 1, output.lines().count());
        return output.trim();
    }

    private static String check(int expectedExitCode, String config) throws Exception {
        Path file = Files.createTempFile("saltstage", ".json");
        try {
            Files.writeString(file, config);
            return run(expectedExitCode, "check", "--config", file.toString());
        } finally {
            Files.delete(file);
        }
    }

    private static String validConfiguration() throws IOException {
        try (RelayTestEnvironment.TestServer discovery = new RelayTestEnvironment.TestServer()) {
            return RelayTestEnvironment.config(1, discovery.endpoint(), 512,
                RelayTestEnvironment.backendList(1, true));
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
        assertEquals("sound: n0, 0 backends known", check(0, validConfiguration()));
        assertEquals("JSON, character 0: the text ends early", checkError(""));
        assertEquals("listen is missing", checkError(validConfiguration().replace("listen", "lisp")));
        assertEquals("saltstage: configuration: cannot read /no/such/file",
            run(1, "serve", "--config", "/no/such/file"));
    }

    /** Returns the message of the check command, without the program name and the file name. */
    private static String checkError(String config) throws Exception {
        String line = check(1, config);
        assertTrue(line, line.matches("saltstage: configuration: .* \\(in /\\S+\\.json\\)"));
        return line.replaceAll("^saltstage: configuration: | \\(in .*", "");
    }

    @Test
    public void invalidSettingsAreNamedWithTheAllowedValues() throws Exception {
        String[][] invalid = {
            {"\"Aim\":60000000", "\"Aim\":0", "Services.0.Aim: out of range: 0.0; 1 or more would do"},
            {"\"Aim\":60000000,", "", "Services.0.Aim: missing; a number of 1 or more is needed"},
            {"\"GiveUp\":60000000", "\"GiveUp\":\"soon\"",
                "Services.0.GiveUp: not a number: soon; a plain number would do"},
            {"retryable", "often",
                "Services.0.Effect: unknown word: often; retryable, dedup or fragile would do"},
            {"on_request", "asked", "Discovery: unknown word: asked; pushed or on_request would do"},
            {"\"MaxAttempts\":3", "\"MaxAttempts\":0",
                "Limits.MaxAttempts: out of range: 0.0; 1 or more would do"},
            {"\"AskEvery\":1000000", "\"ColdFrom\":7", "Safety.ColdFrom: out of range: 7.0; 0 to 1 would do"},
            {"[{\"Name\":\"acme\"}]", "[{\"Name\":\"acme\"},{\"Name\":\"acme\"}]",
                "Realms.1.Name: acme is there twice; a name of its own would do"},
        };
        for (String[] replacement : invalid) {
            assertEquals("settings: " + replacement[2],
                checkError(validConfiguration().replace(replacement[0], replacement[1])));
        }
        assertEquals("limits: sockets: 49; 50 or more would do",
            checkError(validConfiguration().replace("\"sockets\":512", "\"sockets\":49")));
        Path file = Files.createTempFile("saltstage", ".json");
        try {
            Files.writeString(file, validConfiguration().replace("retryable", "often"));
            assertTrue(run(1, "serve", "--config", file.toString()).contains("Services.0.Effect"));
        } finally {
            Files.delete(file);
        }
    }
}
