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
import saltstage.wire.HostList;
import saltstage.wire.Json;
import saltstage.wire.MalformedException;

/** What the relay is told at its start: the file that GW_CONFIG names. */
public final class Configuration {
    /** What the relay itself needs, the least doorway, and a request with its backend. */
    private static final int LEAST_SOCKETS = 50;

    private static final long MOST_BYTES = 64 << 20;

    private final String name;
    private final InetSocketAddress listen;
    private final InetSocketAddress discovery;
    private final InetSocketAddress admin;
    private final long seed;
    private final int sockets;
    private final Map<String, String> pairs = new HashMap<>();
    private final Settings settings;
    private final HostList known;
    private final List<String> classes = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final List<String> zones;
    private String text = "";

    private Configuration(Map<String, Object> json) throws MalformedException {
        name = json.get("name") instanceof String given ? given : "relay";
        listen = HostList.address(Json.member(json, "listen", String.class));
        discovery = HostList.address(Json.member(json, "discovery", String.class));
        admin =
                json.get("admin") == null
                        ? null
                        : HostList.address(Json.member(json, "admin", String.class));
        seed = seed(Json.member(json, "seed", String.class));
        Map<String, Object> limits = Json.asObject(json.get("limits"), "limits");
        sockets = Json.member(limits, "sockets", Double.class).intValue();
        flatten("", Json.member(json, "settings", Map.class));
        try {
            settings =
                    new SettingsReader(
                                    pairs,
                                    (key, what) ->
                                            new IllegalArgumentException(
                                                    "settings: " + key + ": " + what))
                            .read();
        } catch (IllegalArgumentException bad) {
            throw new MalformedException(bad.getMessage());
        }
        known = HostList.of(Json.asObject(json.get("known"), "known"));
        if (sockets < LEAST_SOCKETS) {
            throw new MalformedException(
                    "limits: sockets: " + sockets + "; " + LEAST_SOCKETS + " or more would do");
        }
        names("Services.", classes);
        names("Realms.", tenants);
        zones = List.of(pairs.getOrDefault("Zones", "").split(","));
    }

    /** Reads the file; what is wrong with it is said in one line. */
    public static Configuration read(Path file) throws MalformedException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new MalformedException("configuration: file too large");
            }
            return of(Files.readString(file));
        } catch (MalformedException bad) {
            throw new MalformedException(bad.getMessage() + " (in " + file + ")");
        } catch (IOException e) {
            throw new MalformedException("configuration: cannot read " + file);
        }
    }

    /** Takes the text of a configuration. */
    public static Configuration of(String text) throws MalformedException {
        try {
            Configuration read = new Configuration(Json.object(text));
            read.text = text;
            return read;
        } catch (MalformedException e) {
            throw new MalformedException("configuration: " + e.getMessage());
        }
    }

    /**
     * The settings as the simulator's wire has them: path and value, plain lists joined by commas.
     */
    private void flatten(String at, Object value) {
        if (value instanceof Map<?, ?> members) {
            members.forEach(
                    (name, member) -> flatten(at.isEmpty() ? "" + name : at + "." + name, member));
        } else if (value instanceof List<?> items) {
            if (items.stream().noneMatch(item -> item instanceof Map || item instanceof List)) {
                pairs.put(at, items.stream().map(String::valueOf).collect(Collectors.joining(",")));
                return;
            }
            pairs.put(at + ".count", Integer.toString(items.size()));
            for (int i = 0; i < items.size(); i++) {
                flatten(at + "." + i, items.get(i));
            }
        } else if (value != null) {
            pairs.put(at, value.toString());
        }
    }

    private void names(String list, List<String> into) throws MalformedException {
        for (int i = 0; pairs.containsKey(list + i + ".Name"); i++) {
            String name = pairs.get(list + i + ".Name");
            if (into.contains(name)) { // requests could mean either
                throw new MalformedException(
                        "settings: "
                                + list
                                + i
                                + ".Name: "
                                + name
                                + " is there twice; a name of its own would do");
            }
            into.add(name);
        }
    }

    private static long seed(String hex) throws MalformedException {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new MalformedException("seed is not a hexadecimal number");
        }
    }

    /**
     * What a reload does not change: the parts that need a restart to differ from those in force.
     */
    public List<String> differsFrom(Configuration inForce) {
        List<String> parts = new ArrayList<>();
        if (!listen.equals(inForce.listen)) {
            parts.add("listen");
        }
        if (sockets != inForce.sockets) {
            parts.add("limits");
        }
        if (!pairs.equals(inForce.pairs)) {
            parts.add("settings");
        }
        return parts;
    }

    /** The text that it was read from. */
    public String text() {
        return text;
    }

    /** The relay's name. */
    public String name() {
        return name;
    }

    /** Where clients connect. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Where discovery is. */
    public InetSocketAddress discovery() {
        return discovery;
    }

    /** Where operators call, or null. */
    public InetSocketAddress admin() {
        return admin;
    }

    /** The names of the classes, in the order of the settings. */
    public List<String> classes() {
        return List.copyOf(classes);
    }

    /** The seed for the module's random numbers. */
    public long seed() {
        return seed;
    }

    /** How many descriptors the process may hold. */
    public int sockets() {
        return sockets;
    }

    /** The backends as this relay last had them. */
    public HostList known() {
        return known;
    }

    /** The settings in the module's form. */
    public Settings settings() {
        return settings;
    }

    /** The place of a class in the settings. */
    public int serviceClass(String name) throws MalformedException {
        int place = classes.indexOf(name);
        if (place < 0) {
            throw new MalformedException("unknown class");
        }
        return place;
    }

    /** The place of a tenant in the settings; 0 where there are none. */
    public int tenant(String name) throws MalformedException {
        int place = tenants.isEmpty() ? 0 : tenants.indexOf(name);
        if (place < 0) {
            throw new MalformedException("unknown tenant");
        }
        return place;
    }

    /** The place of a zone; one that the settings do not name is nobody's. */
    public int zone(String name) {
        int place = zones.indexOf(name);
        return place < 0 ? zones.size() : place;
    }

    /** How long a client of the class waits where it does not say. */
    public Duration giveUp(int serviceClass) {
        return span(settings.serviceClasses().get(serviceClass).clientTimeout());
    }

    /** How long any client waits at most. */
    public Duration longestGiveUp() {
        return span(settings.serviceClasses().stream().mapToLong(ServiceClass::clientTimeout).max().orElse(0));
    }

    /** How long a connect may take. */
    public Duration connectTimeout() {
        return span(settings.connectTimeout());
    }

    /** The longest advice to stay away that clients follow. */
    public Duration longestRetryAfter() {
        return span(settings.maxRetryAfter());
    }

    /** The shortest time within which any class wants its messages answered. */
    public Duration shortestMessageAim() {
        return span(
                settings.serviceClasses().stream().mapToLong(ServiceClass::messageLatencyTarget).min().orElse(0));
    }

    private static Duration span(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }
}
