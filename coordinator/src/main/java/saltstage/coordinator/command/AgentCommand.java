package saltstage.coordinator.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.agent.Agent;
import saltstage.coordinator.client.LeaseClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.settings.AgentSettings;

/** Runs the agent of a region. */
@Command(
        name = "agent",
        description = "Carries out the maintenance windows of a region until SIGTERM.",
        mixinStandardHelpOptions = true)
final class AgentCommand implements Callable<Integer> {
    @CommandLine.Mixin private GroupOptions group;

    @Option(
            names = "--agent",
            required = true,
            paramLabel = "FILE",
            description = "settings file of the agent (HCL)")
    private Path settingsFile;

    @Override
    public Integer call() throws Exception {
        AgentSettings settings = AgentSettings.read(settingsFile);
        try (LeaseClient leases =
                new LeaseClient(
                        group.createClient(),
                        group.createClient(),
                        Ticker.SYSTEM,
                        "agent-" + settings.region() + "-" + ProcessHandle.current().pid())) {
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(leases::close)); // so a successor need not wait
            new Agent(settings, group.createClient(), leases).run();
        }
        return ExitCode.OK;
    }
}
