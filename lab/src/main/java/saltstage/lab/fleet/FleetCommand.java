package saltstage.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs fake backends and a fake discovery service that a relay can be started in front of. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Runs fake discovery and fake backends on loopback and writes DIR/config.json and",
            "DIR/saltstage.hcl; then: bin/saltstage serve --config DIR/config.json --settings"
                    + " DIR/saltstage.hcl"
        },
        footer = {
            "",
            "On standard input: drain G, kill G, stop G, start G, slow G MS, late MS (discovery),",
            "with AMQP also tear G (resets within a frame), reject G PERCENT, feed G MESSAGES;",
            "status (one line of JSON), quit. Exits with 0 at quit or at the end of input."
        })
public final class FleetCommand implements Callable<Integer> {
    /** The protocols that the backends speak. */
    public enum Protocol {
        lines,
        amqp
    }

    @Parameters(paramLabel = "DIR", description = "folder for the files; created if missing")
    private Path dir;

    @Option(
            names = "--protocol",
            defaultValue = "lines",
            description = "lines (default), or amqp: both protocols, on a port each")
    private Protocol protocol;

    @Option(
            names = "--gateways",
            paramLabel = "N",
            defaultValue = "4",
            description = "number of backends (default 4)")
    private int gateways;

    @Option(
            names = "--amqp-port",
            paramLabel = "P",
            defaultValue = "0",
            description = "port on which the relay listens for AMQP (default: a free port)")
    private int amqpPort;

    @Override
    public Integer call() throws IOException {
        if (gateways < 1 || gateways > 1_000) {
            throw new IllegalArgumentException("--gateways takes a number from 1 to 1000");
        }
        FakeFleet fleet = new FakeFleet(gateways, protocol == Protocol.amqp, amqpPort);
        fleet.writeFiles(dir, "log {\n  format = \"text\"\n}\n" + fleet.operatorSettings(""));
        System.out.println("ready");
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String answer = fleet.runCommand(line);
            if (answer == null) {
                break;
            }
            System.out.println(answer);
        }
        return 0;
    }
}
