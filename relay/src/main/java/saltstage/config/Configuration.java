package saltstage.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import saltstage.Api.ServiceClass;
import saltstage.Api.Settings;
import saltstage.wire.BackendList;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/** The platform's configuration of the relay: the file that GW_CONFIG names. */
public final class Configuration {
    /**
     * Enough for the relay's own sockets, the smallest number of pending clients, and one request
     * with its backend.
     */
    private static final int MIN_SOCKETS = 50;

    private static final long MAX_FILE_BYTES = 64 << 20;

    private final String name;
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress discoveryAddress;
    private final InetSocketAddress adminAddress;
    private final long seed;
    private final int maxSockets;
    private final Map<String, String> settingValues = new HashMap<>();
    private final Settings settings;
    private final BackendList knownBackends;
    private final List<String> serviceClassNames = new ArrayList<>();
    private final List<String> tenantNames = new ArrayList<>();
    private final List<String> zoneNames;
    private String text = "";

    private Configuration(Map<String, Object> json) throws MalformedException {
        name = json.get("name") instanceof String relayName ? relayName : "relay";
        listenAddress = BackendList.parseAddress(Json.member(json, "listen", String.class));
        discoveryAddress = BackendList.parseAddress(Json.member(json, "discovery", String.class));
        adminAddress =
                json.get("admin") == null
                        ? null
                        : BackendList.parseAddress(Json.member(json, "admin", String.class));
        seed = parseSeed(Json.member(json, "seed", String.class));
        Map<String, Object> limits = Json.asObject(json.get("limits"), "limits");
        maxSockets = Json.member(limits, "sockets", Double.class).intValue();
        flatten("", Json.member(json, "settings", Map.class));
        try {
            settings =
                    new SettingsReader(
                                    settingValues,
                                    (key, message) ->
                                            new IllegalArgumentException(
                                                    "settings: " + key + ": " + message))
                            .read();
        } catch (IllegalArgumentException e) {
            throw new MalformedException(e.getMessage());
        }
        knownBackends = BackendList.parse(Json.asObject(json.get("known"), "known"));
        if (maxSockets < MIN_SOCKETS) {
            throw new MalformedException(
                    "limits: sockets: " + maxSockets + "; " + MIN_SOCKETS + " or more would do");
        }
        readNames("Services.", serviceClassNames);
        readNames("Realms.", tenantNames);
        zoneNames = List.of(settingValues.getOrDefault("Zones", "").split(","));
    }

    /** Reads the file. The message of the exception is a single line. */
    public static Configuration read(Path file) throws MalformedException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new MalformedException("configuration: file too large");
            }
            return parse(Files.readString(file));
        } catch (MalformedException e) {
            throw new MalformedException(e.getMessage() + " (in " + file + ")");
        } catch (IOException e) {
            throw new MalformedException("configuration: cannot read " + file);
        }
    }

    /** Parses the text of a configuration. */
    public static Configuration parse(String text) throws MalformedException {
        try {
            Configuration configuration = new Configuration(Json.parseObject(text));
            configuration.text = text;
            return configuration;
        } catch (MalformedException e) {
            throw new MalformedException("configuration: " + e.getMessage());
        }
    }

    /**
     * Flattens the settings to pairs of path and value, as in the simulator's protocol; lists of
     * plain values are joined by commas.
     */
    private void flatten(String path, Object value) {
        if (value instanceof Map<?, ?> members) {
            members.forEach(
                    (name, member) ->
                            flatten(path.isEmpty() ? "" + name : path + "." + name, member));
        } else if (value instanceof List<?> items) {
            if (items.stream().noneMatch(item -> item instanceof Map || item instanceof List)) {
                settingValues.put(
                        path, items.stream().map(String::valueOf).collect(Collectors.joining(",")));
                return;
            }
            settingValues.put(path + ".count", Integer.toString(items.size()));
            for (int i = 0; i < items.size(); i++) {
                flatten(path + "." + i, items.get(i));
            }
        } else if (value != null) {
            settingValues.put(path, value.toString());
        }
    }

    private void readNames(String listPrefix, List<String> names) throws MalformedException {
        for (int i = 0; settingValues.containsKey(listPrefix + i + ".Name"); i++) {
            String name = settingValues.get(listPrefix + i + ".Name");
            if (names.contains(name)) { // requests could not tell the two apart
                throw new MalformedException(
                        "settings: "
                                + listPrefix
                                + i
                                + ".Name: "
                                + name
                                + " is there twice; a name of its own would do");
            }
            names.add(name);
        }
    }

    private static long parseSeed(String hex) throws MalformedException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new MalformedException("seed is not a hexadecimal number");
        }
    }

    /**
     * The parts that differ from the current configuration and that only a restart can change, not
     * a reload.
     */
    public List<String> restartRequiredChanges(Configuration current) {
        List<String> parts = new ArrayList<>();
        if (!listenAddress.equals(current.listenAddress)) {
            parts.add("listen");
        }
        if (maxSockets != current.maxSockets) {
            parts.add("limits");
        }
        if (!settingValues.equals(current.settingValues)) {
            parts.add("settings");
        }
        return parts;
    }

    /** The text that the configuration was parsed from. */
    public String text() {
        return text;
    }

    /** The relay's name. */
    public String name() {
        return name;
    }

    /** The address where clients connect. */
    public InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** The address of the discovery service. */
    public InetSocketAddress discoveryAddress() {
        return discoveryAddress;
    }

    /** The address for operator calls, or null. */
    public InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** The names of the service classes, in the order of the settings. */
    public List<String> serviceClassNames() {
        return List.copyOf(serviceClassNames);
    }

    /** The seed of the load balancer's random numbers. */
    public long seed() {
        return seed;
    }

    /** The maximum number of file descriptors that the process may hold. */
    public int maxSockets() {
        return maxSockets;
    }

    /** The backends that are known at the start, before discovery responds. */
    public BackendList knownBackends() {
        return knownBackends;
    }

    /** The settings in the load balancer's form. */
    public Settings settings() {
        return settings;
    }

    /** The index of a service class in the settings. */
    public int serviceClassIndex(String name) throws MalformedException {
        int index = serviceClassNames.indexOf(name);
        if (index < 0) {
            throw new MalformedException("unknown class");
        }
        return index;
    }

    /** The index of a tenant in the settings; 0 if the settings define no tenants. */
    public int tenantIndex(String name) throws MalformedException {
        int index = tenantNames.isEmpty() ? 0 : tenantNames.indexOf(name);
        if (index < 0) {
            throw new MalformedException("unknown tenant");
        }
        return index;
    }

    /**
     * The index of a zone in the settings. An unknown zone gets the next index, which belongs to no
     * zone.
     */
    public int zoneIndex(String name) {
        int index = zoneNames.indexOf(name);
        return index < 0 ? zoneNames.size() : index;
    }

    /** The client timeout of a service class, for clients that give none. */
    public Duration clientTimeout(int serviceClass) {
        return ofMicros(settings.serviceClasses().get(serviceClass).clientTimeout());
    }

    /** The longest client timeout of all service classes. */
    public Duration maxClientTimeout() {
        return ofMicros(
                settings.serviceClasses().stream()
                        .mapToLong(ServiceClass::clientTimeout)
                        .max()
                        .orElse(0));
    }

    /** The timeout of a connect to a backend. */
    public Duration connectTimeout() {
        return ofMicros(settings.connectTimeout());
    }

    /** The longest retry-after time that clients honor. */
    public Duration maxRetryAfter() {
        return ofMicros(settings.maxRetryAfter());
    }

    /** The lowest message latency target of all service classes. */
    public Duration minMessageLatencyTarget() {
        return ofMicros(
                settings.serviceClasses().stream()
                        .mapToLong(ServiceClass::messageLatencyTarget)
                        .min()
                        .orElse(0));
    }

    private static Duration ofMicros(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }
}
