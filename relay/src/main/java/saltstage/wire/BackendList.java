package saltstage.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A message of the discovery service: the full backend list, or the entries that changed. */
public record BackendList(long revision, boolean full, List<Entry> entries) {
    private static final Pattern ENDPOINT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern UID = Pattern.compile("[!-~]{1,128}");
    private static final int MAX_ENTRIES = 100_000;

    /** The state of a backend as discovery reports it. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** One backend. {@code startedAt} is the epoch where discovery gives no start time. */
    public record Entry(
            String uid,
            InetSocketAddress endpoint,
            String zone,
            int cell,
            State state,
            double weight,
            Instant startedAt) {}

    /** Parses one object from discovery, or the list of known backends in the configuration. */
    public static BackendList parse(Map<String, Object> json) throws MalformedException {
        List<?> targets = Json.member(json, "targets", List.class);
        if (targets.size() > MAX_ENTRIES) {
            throw new MalformedException("too many targets");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object target : targets) {
            entries.add(parseEntry(Json.asObject(target, "target")));
        }
        return new BackendList(
                Json.member(json, "rev", Double.class).longValue(),
                Json.member(json, "all", Boolean.class),
                entries);
    }

    private static Entry parseEntry(Map<String, Object> json) throws MalformedException {
        String uid = Json.member(json, "uid", String.class);
        if (!UID.matcher(uid).matches()) {
            throw new MalformedException("bad uid");
        }
        State state =
                switch (Json.member(json, "state", String.class)) {
                    case "ready" -> State.READY;
                    case "draining" -> State.DRAINING;
                    case "gone" -> State.GONE;
                    default -> throw new MalformedException("unknown state");
                };
        double weight = json.get("capacity_hint") instanceof Double d && d >= 0 ? d : 1;
        double bootMs = json.get("boot_ms") instanceof Double d && d > 0 ? d : 0;
        int cell = json.get("pod_group") instanceof Double d ? d.intValue() : 0;
        return new Entry(
                uid,
                parseAddress(Json.member(json, "endpoint", String.class)),
                json.get("az") instanceof String zone ? zone : "",
                cell,
                state,
                weight,
                Instant.ofEpochMilli((long) bootMs));
    }

    /** Parses a numeric IPv4 address with a port; host names are not resolved. */
    public static InetSocketAddress parseAddress(String text) throws MalformedException {
        Matcher matcher = ENDPOINT.matcher(text);
        if (!matcher.matches()) {
            throw new MalformedException("bad address");
        }
        byte[] ip = new byte[4];
        for (int i = 0; i < ip.length; i++) {
            int octet = Integer.parseInt(matcher.group(i + 1));
            if (octet > 255) {
                throw new MalformedException("bad address");
            }
            ip[i] = (byte) octet;
        }
        int port = Integer.parseInt(matcher.group(5));
        if (port > 65_535) {
            throw new MalformedException("bad port");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new MalformedException("bad address");
        }
    }
}
