package saltstage.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The settings of the AMQP frontend: its listener, its limits, and how links are mapped to requests. Sizes
 * are in bytes; docs/operators/amqp.md explains what each limit protects.
 */
public record AmqpSettings(InetSocketAddress listenAddress, int backendPort, int loops,
        Limits limits, Timeouts timeouts, Authentication authentication, LinkProperties linkProperties) {
    /**
     * The limits: connections; sessions and links of one connection; links in total; deliveries of a link
     * without an outcome; the size of a frame; bytes buffered for a link; bytes of a delivery that are
     * retained so that it can be sent to another backend; attaches that one connection may begin in a second.
     */
    public record Limits(int maxConnections, int maxSessionsPerConnection, int maxLinksPerConnection,
            int maxLinks, int maxUnsettledPerLink, int maxFrameBytes, int maxLinkBytes,
            int maxRetainedDeliveryBytes, int maxAttachesPerSecond) { }

    /**
     * The timeouts: silence of a client and of a backend; from a connect until the open frame; from the
     * complete receipt of a delivery until it fails; until the deliveries of a moved link are settled.
     */
    public record Timeouts(Duration clientIdle, Duration backendIdle, Duration open, Duration delivery,
            Duration settle) { }

    /** Who may connect: the file of users and secrets, or null; the tenant of ANONYMOUS, or null. */
    public record Authentication(Path secretsFile, String anonymousTenant) { }

    /** The names of the link properties that carry what an address does not contain; null where unused. */
    public record LinkProperties(String keyProperty, String groupProperty, String deadlineProperty) { }

    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    static AmqpSettings parse(HclBlock amqp) throws MalformedException {
        InetSocketAddress listen;
        try {
            listen = BackendList.parseAddress(amqp.requiredString("listen"));
        } catch (MalformedException e) {
            if (amqp.string("listen", null) == null) {
                throw e;
            }
            throw amqp.attributeError("listen",
                "an address in figures with a port, such as \"127.0.0.1:5672\"");
        }
        Limits limits = new Limits((int) amqp.integer("connections", 200, 1, 1_000_000),
            (int) amqp.integer("sessions", 256, 1, 65_536),
            (int) amqp.integer("links_per_connection", 1_000, 1, 1_000_000),
            (int) amqp.integer("links", 10_000, 1, 10_000_000),
            (int) amqp.integer("unsettled", 500, 1, 100_000),
            (int) amqp.byteSize("frame", 16 * KIB, 512, MIB),
            (int) amqp.byteSize("link_bytes", MIB, 4 * KIB, 256 * MIB),
            (int) amqp.byteSize("repeat_bytes", 128 * KIB, 0, 64 * MIB),
            (int) amqp.integer("attaches_per_second", 500, 1, 1_000_000));
        if (limits.maxLinkBytes() < 4 * limits.maxFrameBytes()) {
            throw amqp.blockError("'link_bytes' must hold at least four frames of 'frame'");
        }
        Timeouts timeouts = new Timeouts(
            amqp.duration("idle", Duration.ofSeconds(60), Duration.ofSeconds(1), Duration.ofHours(1)),
            amqp.duration("backend_idle", Duration.ofSeconds(4), Duration.ofMillis(500), Duration.ofHours(1)),
            amqp.duration("open_within", Duration.ofSeconds(3), Duration.ofMillis(100),
                Duration.ofMinutes(1)),
            amqp.duration("delivery_within", Duration.ofSeconds(10), Duration.ofMillis(100),
                Duration.ofHours(1)),
            amqp.duration("settle_within", Duration.ofMillis(700), Duration.ofMillis(50),
                Duration.ofMinutes(1)));
        String secrets = amqp.string("secrets", null);
        Authentication authentication = new Authentication(secrets == null ? null : Path.of(secrets),
            amqp.string("anonymous_tenant", null));
        if (authentication.secretsFile() == null && authentication.anonymousTenant() == null) {
            throw amqp.blockError("nobody may come in: name 'secrets' or 'anonymous_tenant'");
        }
        AmqpSettings settings = new AmqpSettings(listen, (int) amqp.integer("backend_port", 0, 0, 65_535),
            (int) amqp.integer("loops", 1, 1, 64), limits, timeouts, authentication,
            new LinkProperties(amqp.string("key_property", null), amqp.string("group_property", null),
                amqp.string("deadline_property", null)));
        amqp.rejectUnknown();
        return settings;
    }
}
