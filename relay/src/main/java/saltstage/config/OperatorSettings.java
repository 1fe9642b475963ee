package saltstage.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import saltstage.log.LogSetup;
import saltstage.wire.HostList;
import saltstage.wire.MalformedException;

/**
 * The operator's own settings, an HCL file: what this program offers beyond the platform's
 * configuration. Everything in it is off, or as it always was, unless it is named; {@code
 * deploy/saltstage.hcl} shows all.
 */
public final class OperatorSettings {
    /** The levels of a log line, the least that is written. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** How the log is written. */
    public record Logging(LogSetup.Format format, Level level) {}

    /**
     * Where state is kept and how: segments of this size, learnt state no older than this, so many
     * accepted configurations, and so many bytes a second that compaction may copy.
     */
    public record Keeping(
            Path dir,
            int segmentBytes,
            Duration learntFor,
            Duration every,
            int configurations,
            long compactionRate) {}

    /**
     * Where configuration by revision comes from.
     *
     * @param sources addresses with ports, the preferred one first; at least one
     * @param zone the zone that this relay runs in, may be empty
     * @param name what sources call this relay; empty: the relay's own name
     * @param dir where what was accepted outlives a restart
     */
    public record Following(List<String> sources, String zone, String name, Path dir) {}

    private static final Pattern ZONE = Pattern.compile("[A-Za-z0-9._-]{0,60}");
    private static final Pattern FOLLOWER = Pattern.compile("[!-~]{0,160}");
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    private final String text;
    private final Logging logging;
    private final Keeping keeping;
    private final AmqpSettings amqp;
    private final Following following;

    private OperatorSettings(
            String text, Logging logging, Keeping keeping, AmqpSettings amqp, Following following) {
        this.text = text;
        this.logging = logging;
        this.keeping = keeping;
        this.amqp = amqp;
        this.following = following;
    }

    /** What holds where no file is named. */
    public static OperatorSettings none() {
        return new OperatorSettings(
                "", new Logging(LogSetup.Format.TEXT, Level.INFO), null, null, null);
    }

    /** Reads the file; what is wrong with it is said in one line, with file, line and name. */
    public static OperatorSettings read(Path file) throws MalformedException {
        try {
            return of(file.toString(), Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new MalformedException(file + ": not UTF-8 text");
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Takes the text of a file that errors shall call by this name. */
    public static OperatorSettings of(String name, String text) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        HclBlock log = top.one("log");
        HclBlock store = top.one("store");
        HclBlock amqp = top.one("amqp");
        HclBlock configuration = top.one("configuration");
        OperatorSettings read =
                new OperatorSettings(
                        text,
                        log == null ? none().logging : logging(log),
                        store == null ? null : keeping(store),
                        amqp == null ? null : AmqpSettings.of(amqp),
                        configuration == null ? null : following(configuration));
        top.finish();
        return read;
    }

    private static Logging logging(HclBlock log) throws MalformedException {
        Logging read =
                new Logging(
                        log.word("format", LogSetup.Format.class, LogSetup.Format.TEXT),
                        log.word("level", Level.class, Level.INFO));
        log.finish();
        return read;
    }

    private static Keeping keeping(HclBlock store) throws MalformedException {
        Keeping read =
                new Keeping(
                        Path.of(store.need("dir")),
                        (int) store.size("segment", MIB, 64 * KIB, 256 * MIB),
                        store.span(
                                "learnt_for",
                                Duration.ofMinutes(10),
                                Duration.ofSeconds(1),
                                Duration.ofDays(30)),
                        store.span(
                                "every",
                                Duration.ofSeconds(2),
                                Duration.ofMillis(100),
                                Duration.ofHours(1)),
                        (int) store.whole("configurations", 50, 2, 10_000),
                        store.size("compaction_rate", 4 * MIB, 64 * KIB, 1L << 40));
        store.finish();
        return read;
    }

    private static Following following(HclBlock configuration) throws MalformedException {
        List<String> sources = configuration.texts("sources");
        if (sources.isEmpty()) {
            throw configuration.complaint("'sources' is missing");
        }
        for (String source : sources) {
            checkAddress(configuration, source);
        }
        Following read =
                new Following(
                        List.copyOf(sources),
                        configuration.text("zone", ""),
                        configuration.text("name", ""),
                        Path.of(configuration.need("dir")));
        if (!ZONE.matcher(read.zone()).matches()) {
            throw configuration.wrong("zone", "up to 60 letters, digits, '.', '_' and '-'");
        }
        if (!FOLLOWER.matcher(read.name()).matches()) {
            throw configuration.wrong("name", "up to 160 visible ASCII characters");
        }
        configuration.finish();
        return read;
    }

    private static void checkAddress(HclBlock configuration, String source)
            throws MalformedException {
        try {
            HostList.address(source);
        } catch (MalformedException bad) {
            throw configuration.wrong(
                    "sources", "addresses in figures with a port, such as \"127.0.0.1:7300\"");
        }
    }

    /** The text of the file, for the history of configurations. */
    public String text() {
        return text;
    }

    /** How the log is written. */
    public Logging logging() {
        return logging;
    }

    /** The AMQP front, if there is one. */
    public Optional<AmqpSettings> amqp() {
        return Optional.ofNullable(amqp);
    }

    /** Where configuration by revision comes from, if it does. */
    public Optional<Following> following() {
        return Optional.ofNullable(following);
    }

    /** Where state is kept, if it is. */
    public Optional<Keeping> keeping() {
        return Optional.ofNullable(keeping);
    }
}
