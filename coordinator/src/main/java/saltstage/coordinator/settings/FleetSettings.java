package saltstage.coordinator.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltstage.config.HclBlock;
import saltstage.config.HclFile;
import saltstage.coordinator.window.FleetPlan;
import saltstage.wire.MalformedException;

/** Reads the agreed plan of the fleet from the block {@code fleet} of a settings file. */
public final class FleetSettings {
    private static final List<String> DAY_NAMES =
            List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun");
    private static final Pattern TIME_PATTERN = Pattern.compile("([01]?\\d|2[0-4]):([0-5]\\d)");

    /** The file gives capacities in mean connection loads, the plan in thousandths of one. */
    private static final long CAPACITY_UNITS_PER_LOAD = 1_000;

    private static final long MAX_LOADS = 10_000_000;

    /**
     * How far ahead changes of the UTC offsets are written into the plan. The plan is expected to
     * be replaced long before this time has passed.
     */
    private static final Duration ZONE_TRANSITION_HORIZON = Duration.ofDays(800);

    private FleetSettings() {}

    /**
     * Reads the plan from a file. The changes of the UTC offsets from {@code now} on are taken from
     * the time zone tables of this machine.
     */
    public static FleetPlan read(Path file, Instant now) throws MalformedException {
        try {
            return parse(file.toString(), Files.readString(file), now);
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Parses the text of a settings file; error messages begin with the given file name. */
    public static FleetPlan parse(String name, String text, Instant now) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        HclBlock fleet = top.block("fleet");
        if (fleet == null) {
            throw new MalformedException(name + ": no block 'fleet'");
        }
        Map<String, List<FleetPlan.UtcOffsetChange>> zones = new TreeMap<>();
        List<FleetPlan.Region> regions = new ArrayList<>();
        for (HclBlock block : fleet.blocks("region")) {
            regions.add(readRegion(block, zones, now));
        }
        List<FleetPlan.Floor> floors = new ArrayList<>();
        for (HclBlock block : fleet.blocks("floor")) {
            floors.add(readFloor(block, zones, now));
        }
        FleetPlan plan =
                new FleetPlan(
                        fleet.duration(
                                        "slot",
                                        Duration.ofMinutes(5),
                                        Duration.ofMillis(100),
                                        Duration.ofHours(1))
                                .toMillis(),
                        zones,
                        regions,
                        floors,
                        (int) fleet.integer("most_regions", 1, 1, 1_000),
                        fleet.duration("spacing", Duration.ZERO, Duration.ZERO, Duration.ofDays(30))
                                .toMillis(),
                        10 * (int) fleet.integer("cold_percent", 31, 0, 100));
        fleet.rejectUnknown();
        return plan;
    }

    private static String requiredLabel(HclBlock block) throws MalformedException {
        if (block.labels().size() != 1) {
            throw block.blockError("takes one label, its name");
        }
        return block.labels().get(0);
    }

    private static FleetPlan.Region readRegion(
            HclBlock block, Map<String, List<FleetPlan.UtcOffsetChange>> zones, Instant now)
            throws MalformedException {
        List<FleetPlan.Node> nodes = new ArrayList<>();
        for (HclBlock node : block.blocks("node")) {
            nodes.add(
                    new FleetPlan.Node(
                            requiredLabel(node),
                            CAPACITY_UNITS_PER_LOAD * node.integer("capacity", 0, 1, MAX_LOADS)));
            node.rejectUnknown();
        }
        if (nodes.stream().anyMatch(node -> node.capacity() == 0)) {
            throw block.blockError("each 'node' takes a 'capacity' in mean connection loads");
        }
        List<FleetPlan.BlackOut> blackOuts = new ArrayList<>();
        for (HclBlock blackOut : block.blocks("black_out")) {
            List<Integer> days = new ArrayList<>();
            for (String day : blackOut.strings("days")) {
                if (!DAY_NAMES.contains(day)) {
                    throw blackOut.attributeError("days", "a list of " + DAY_NAMES);
                }
                days.add(1 + DAY_NAMES.indexOf(day));
            }
            blackOuts.add(
                    new FleetPlan.BlackOut(
                            days.isEmpty() ? List.of(1, 2, 3, 4, 5, 6, 7) : days,
                            readMinuteOfDay(blackOut, "from"),
                            readMinuteOfDay(blackOut, "to")));
            blackOut.rejectUnknown();
        }
        String zone = readZone(block, zones, now);
        FleetPlan.Region region =
                new FleetPlan.Region(requiredLabel(block), zone, nodes, blackOuts);
        block.rejectUnknown();
        return region;
    }

    private static int readMinuteOfDay(HclBlock block, String name) throws MalformedException {
        Matcher time = TIME_PATTERN.matcher(block.requiredString(name));
        if (!time.matches()) {
            throw block.attributeError(name, "a time of day such as \"17:30\"");
        }
        return Math.min(
                1_440, 60 * Integer.parseInt(time.group(1)) + Integer.parseInt(time.group(2)));
    }

    private static FleetPlan.Floor readFloor(
            HclBlock block, Map<String, List<FleetPlan.UtcOffsetChange>> zones, Instant now)
            throws MalformedException {
        List<Long> demand =
                block.integers("demand", 0, MAX_LOADS).stream()
                        .map(loads -> loads * CAPACITY_UNITS_PER_LOAD)
                        .toList();
        FleetPlan.Floor floor =
                new FleetPlan.Floor(
                        requiredLabel(block),
                        block.strings("regions"),
                        CAPACITY_UNITS_PER_LOAD * block.integer("least", 0, 0, MAX_LOADS),
                        demand,
                        readZone(block, zones, now));
        if (floor.regions().isEmpty() || !demand.isEmpty() && demand.size() != 24) {
            throw block.blockError(
                    "takes 'regions', and 'demand' as 24 figures, one an hour, if at all");
        }
        block.rejectUnknown();
        return floor;
    }

    private static String readZone(
            HclBlock block, Map<String, List<FleetPlan.UtcOffsetChange>> zones, Instant now)
            throws MalformedException {
        String name = block.string("zone", "UTC");
        if (!ZoneId.getAvailableZoneIds().contains(name)) {
            throw block.attributeError("zone", "a time zone such as \"Asia/Tokyo\"");
        }
        zones.computeIfAbsent(
                name,
                key -> {
                    ZoneRules rules = ZoneId.of(name).getRules();
                    List<FleetPlan.UtcOffsetChange> offsetChanges = new ArrayList<>();
                    offsetChanges.add(
                            new FleetPlan.UtcOffsetChange(
                                    0, rules.getOffset(now).getTotalSeconds() * 1_000L));
                    ZoneOffsetTransition next = rules.nextTransition(now);
                    while (next != null
                            && next.getInstant().isBefore(now.plus(ZONE_TRANSITION_HORIZON))) {
                        offsetChanges.add(
                                new FleetPlan.UtcOffsetChange(
                                        next.getInstant().toEpochMilli(),
                                        next.getOffsetAfter().getTotalSeconds() * 1_000L));
                        next = rules.nextTransition(next.getInstant());
                    }
                    return offsetChanges;
                });
        return name;
    }
}
