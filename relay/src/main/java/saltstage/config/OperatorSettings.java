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
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The operator's settings, an HCL file: features of the relay beyond the platform's configuration.
 * A feature that the file does not name is off or keeps its default; {@code deploy/saltstage.hcl}
 * shows all settings.
 */
public final class OperatorSettings {
    /** The lowest level of the log lines that are written. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** How the log is written. */
    public record Logging(LogSetup.Format format, Level level) {}

    /**
     * The persisted state: its directory, the size of a segment file, the maximum age of learned
     * state that is restored, the interval between saves, the number of accepted configurations
     * that are retained, and the rate at which compaction may copy.
     */
    public record PersistenceSettings(
            Path dir,
            int segmentBytes,
            Duration maxLearnedStateAge,
            Duration saveInterval,
            int maxConfigurations,
            long compactionBytesPerSecond) {}

    /**
     * The sources of configuration revisions.
     *
     * @param sources addresses with ports, the preferred one first; at least one
     * @param zone the zone that this relay runs in, may be empty
     * @param name the name of this relay at the sources; if empty, the relay's own name
     * @param dir the directory that keeps accepted revisions across restarts
     */
    public record FollowerSettings(List<String> sources, String zone, String name, Path dir) {}

    private static final Pattern ZONE_NAME = Pattern.compile("[A-Za-z0-9._-]{0,60}");
    private static final Pattern FOLLOWER_NAME = Pattern.compile("[!-~]{0,160}");
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    private final String text;
    private final Logging logging;
    private final PersistenceSettings persistence;
    private final AmqpSettings amqp;
    private final FollowerSettings follower;

    private OperatorSettings(
            String text,
            Logging logging,
            PersistenceSettings persistence,
            AmqpSettings amqp,
            FollowerSettings follower) {
        this.text = text;
        this.logging = logging;
        this.persistence = persistence;
        this.amqp = amqp;
        this.follower = follower;
    }

    /** The settings that apply if no file is given. */
    public static OperatorSettings defaults() {
        return new OperatorSettings(
                "", new Logging(LogSetup.Format.TEXT, Level.INFO), null, null, null);
    }

    /** Reads the file. The message of the exception is a single line with file, line and name. */
    public static OperatorSettings read(Path file) throws MalformedException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new MalformedException(file + ": not UTF-8 text");
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Parses the text of a file. Errors refer to the file by this name. */
    public static OperatorSettings parse(String name, String text) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        HclBlock log = top.block("log");
        HclBlock store = top.block("store");
        HclBlock amqp = top.block("amqp");
        HclBlock configuration = top.block("configuration");
        OperatorSettings settings =
                new OperatorSettings(
                        text,
                        log == null ? defaults().logging : logging(log),
                        store == null ? null : persistence(store),
                        amqp == null ? null : AmqpSettings.parse(amqp),
                        configuration == null ? null : follower(configuration));
        top.rejectUnknown();
        return settings;
    }

    private static Logging logging(HclBlock log) throws MalformedException {
        Logging settings =
                new Logging(
                        log.enumValue("format", LogSetup.Format.class, LogSetup.Format.TEXT),
                        log.enumValue("level", Level.class, Level.INFO));
        log.rejectUnknown();
        return settings;
    }

    private static PersistenceSettings persistence(HclBlock store) throws MalformedException {
        PersistenceSettings settings =
                new PersistenceSettings(
                        Path.of(store.requiredString("dir")),
                        (int) store.byteSize("segment", MIB, 64 * KIB, 256 * MIB),
                        store.duration(
                                "learnt_for",
                                Duration.ofMinutes(10),
                                Duration.ofSeconds(1),
                                Duration.ofDays(30)),
                        store.duration(
                                "every",
                                Duration.ofSeconds(2),
                                Duration.ofMillis(100),
                                Duration.ofHours(1)),
                        (int) store.integer("configurations", 50, 2, 10_000),
                        store.byteSize("compaction_rate", 4 * MIB, 64 * KIB, 1L << 40));
        store.rejectUnknown();
        return settings;
    }

    private static FollowerSettings follower(HclBlock configuration) throws MalformedException {
        List<String> sources = configuration.strings("sources");
        if (sources.isEmpty()) {
            throw configuration.blockError("'sources' is missing");
        }
        for (String source : sources) {
            checkAddress(configuration, source);
        }
        FollowerSettings settings =
                new FollowerSettings(
                        List.copyOf(sources),
                        configuration.string("zone", ""),
                        configuration.string("name", ""),
                        Path.of(configuration.requiredString("dir")));
        if (!ZONE_NAME.matcher(settings.zone()).matches()) {
            throw configuration.attributeError(
                    "zone", "up to 60 letters, digits, '.', '_' and '-'");
        }
        if (!FOLLOWER_NAME.matcher(settings.name()).matches()) {
            throw configuration.attributeError("name", "up to 160 visible ASCII characters");
        }
        configuration.rejectUnknown();
        return settings;
    }

    private static void checkAddress(HclBlock configuration, String source)
            throws MalformedException {
        try {
            BackendList.parseAddress(source);
        } catch (MalformedException e) {
            throw configuration.attributeError(
                    "sources", "addresses in figures with a port, such as \"127.0.0.1:7300\"");
        }
    }

    /** The text of the file, for the stored configuration versions. */
    public String text() {
        return text;
    }

    /** How the log is written. */
    public Logging logging() {
        return logging;
    }

    /** The settings of the AMQP frontend, if it is enabled. */
    public Optional<AmqpSettings> amqp() {
        return Optional.ofNullable(amqp);
    }

    /** The sources of configuration revisions, if there are any. */
    public Optional<FollowerSettings> follower() {
        return Optional.ofNullable(follower);
    }

    /** The settings of the persisted state, if persistence is enabled. */
    public Optional<PersistenceSettings> persistence() {
        return Optional.ofNullable(persistence);
    }
}
