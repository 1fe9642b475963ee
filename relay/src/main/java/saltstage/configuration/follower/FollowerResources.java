package saltstage.configuration.follower;

import java.net.http.HttpClient;
import java.time.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * What a follower works with; many followers of one process may share it.
 *
 * @param scheduler runs pauses and time-outs; what it runs is short
 * @param writer runs writes of the persistence, which may block
 * @param clock the time of day of confirmations
 * @param random draws pauses; thread safe where it is shared
 */
public record FollowerResources(
        HttpClient http,
        ScheduledExecutorService scheduler,
        Executor writer,
        Clock clock,
        RandomGenerator random) {}
