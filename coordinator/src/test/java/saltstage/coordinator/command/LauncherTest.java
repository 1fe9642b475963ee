package saltstage.coordinator.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against {@code bin/saltstage} starting the wrong one of its two programs. A fake {@code
 * java} on the path prints its arguments.
 */
class LauncherTest {
    @TempDir Path home;

    @ParameterizedTest
    @CsvSource({
        "config put shard/t/1 gw-1 --settings f, coordinator",
        "config get --settings f, coordinator",
        "config watch --settings f, coordinator",
        "config status --settings f, coordinator",
        "config history --at 127.0.0.1:1, coordinator",
        "config history --settings f --group, coordinator",
        "config rollback 3 --at=127.0.0.1:1, coordinator",
        "config history --settings f, saltstage",
        "config rollback 3 --settings f --config c, saltstage",
        "config show 3 --settings f, saltstage",
        "config help, saltstage",
        "config, saltstage",
        "lease list --settings f, coordinator",
        "serve --settings f, saltstage",
        "check put --at, saltstage",
    })
    void commandIsRoutedToItsProgramWithAllArguments(String arguments, String jar)
            throws Exception {
        Path script = home.resolve("bin/saltstage");
        Files.createDirectories(script.getParent());
        Files.copy(Path.of("..", "bin", "saltstage"), script);
        for (String jarFile :
                List.of("relay/target/saltstage.jar", "coordinator/target/coordinator.jar")) {
            Files.createDirectories(home.resolve(jarFile).getParent());
            Files.createFile(home.resolve(jarFile));
        }
        Path java = home.resolve("java/java");
        Files.createDirectories(java.getParent());
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        List<String> command = new ArrayList<>(List.of("sh", script.toString()));
        command.addAll(List.of(arguments.split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PATH", java.getParent() + ":" + System.getenv("PATH"));
        builder.environment().remove("JAVA_OPTS");
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        assertTrue(output.trim().endsWith(jar + ".jar " + arguments), output);
    }
}
