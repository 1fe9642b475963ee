package saltstage.configuration.follower;

import java.net.http.HttpClient;
import java.time.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * The clients, executors and clocks that a follower uses; the followers of one process may share
 * them.
 *
 * @param scheduler runs retry delays and timeouts; its tasks are short
 * @param writer runs the writes of the persistence, which may block
 * @param clock gives the time of confirmations
 * @param random adds jitter to delays; must be thread safe if it is shared
 */
public record FollowerResources(
        HttpClient http,
        ScheduledExecutorService scheduler,
        Executor writer,
        Clock clock,
        RandomGenerator random) {}
