package saltstage.coordinator.window;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.Window.State;
import saltstage.coordinator.window.WindowCommands.Step;

/**
 * Guards against windows that breach a capacity floor together, and against capacity that counts as
 * back before its return is proven, for example after the loss of an agent.
 */
class WindowsTest {
    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;

    /** Monday, 2 June 2025, 00:00 UTC. */
    private static final long MONDAY = 1_748_822_400_000L;

    private final Windows windows = new Windows();

    private static List<FleetPlan.Node> nodes(String region, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new FleetPlan.Node(region + i, 100))
                .toList();
    }

    private static FleetPlan.Region region(String name, List<FleetPlan.BlackOut> blackOuts) {
        return new FleetPlan.Region(name, "Z", nodes(name, 4), blackOuts);
    }

    /**
     * Three regions of four nodes with a capacity of 400 each, 1,200 in all, and one global floor.
     */
    private static FleetPlan plan(long floor, int mostRegions, long spacing) {
        List<FleetPlan.Region> regions =
                List.of(region("a", List.of()), region("b", List.of()), region("c", List.of()));
        return new FleetPlan(
                MINUTE,
                Map.of(),
                regions,
                List.of(new FleetPlan.Floor("all", List.of("a", "b", "c"), floor, List.of(), "Z")),
                mostRegions,
                spacing,
                310);
    }

    private static WindowRequest request(
            String region, int count, long earliest, long latest, int priority) {
        return new WindowRequest(
                region,
                IntStream.range(0, count).mapToObj(i -> region + i).toList(),
                10 * MINUTE,
                30 * MINUTE,
                20 * MINUTE,
                earliest,
                latest,
                priority,
                false,
                false,
                List.of(),
                List.of(),
                "ops",
                "upgrade");
    }

    private static WindowRequest emergencyRequest(
            String region, List<String> nodes, long drainMs, long workMs, long warmMs) {
        return new WindowRequest(
                region,
                nodes,
                drainMs,
                workMs,
                warmMs,
                MONDAY,
                MONDAY + 9 * HOUR,
                0,
                true,
                false,
                List.of(),
                List.of(),
                "ops",
                "burning");
    }

    private Window plannedWindow(Reply reply) {
        return assertInstanceOf(WindowReplies.Planned.class, reply, String.valueOf(reply))
                .windows()
                .get(0);
    }

    private Window currentWindow(Reply reply) {
        return assertInstanceOf(WindowReplies.Now.class, reply, String.valueOf(reply)).window();
    }

    private Window runToCompletion(Window window, long from) {
        currentWindow(windows.begin(window.id(), from));
        currentWindow(windows.report(window.id(), Step.OUT, 0, from + 10 * MINUTE));
        currentWindow(windows.report(window.id(), Step.WARMING, 0, from + 40 * MINUTE));
        currentWindow(windows.report(window.id(), Step.PROVEN, window.capacity(), from + HOUR));
        return currentWindow(windows.report(window.id(), Step.DONE, 0, from + HOUR));
    }

    @Test
    void secondOfTwoThatWouldBreachTheFloorTogetherComesAfterTheFirst() {
        windows.setPlan(plan(900, 3, 0), MONDAY);
        Window first =
                plannedWindow(
                        windows.propose(request("a", 2, MONDAY, MONDAY + 9 * HOUR, 0), MONDAY));
        Window second =
                plannedWindow(
                        windows.propose(request("b", 2, MONDAY, MONDAY + 9 * HOUR, 0), MONDAY));
        assertEquals(MONDAY, first.start());
        assertTrue(
                second.start() >= MONDAY + 40 * MINUTE, "200 are missing until the first warms up");
        assertTrue(
                second.start() < MONDAY + HOUR,
                "the second fits before the warm-up of the first ends");
        assertInstanceOf(
                Rejection.class,
                windows.begin(second.id(), MONDAY),
                "a window must not begin before its start");
        // The first is planned to warm up by the start of the second, but has proven nothing.
        currentWindow(windows.begin(first.id(), MONDAY));
        Rejection rejection =
                assertInstanceOf(Rejection.class, windows.begin(second.id(), second.start()));
        assertEquals("not-now", rejection.code(), rejection.why());
    }

    @Test
    void sameRequestOfTwoOperatorsIsOneWindow() {
        windows.setPlan(plan(0, 3, 0), MONDAY);
        WindowRequest request = request("a", 2, MONDAY, MONDAY + 9 * HOUR, 0);
        plannedWindow(windows.propose(request, MONDAY));
        WindowRequest duplicate =
                new WindowRequest(
                        "a",
                        List.of("a1", "a0"),
                        1,
                        2,
                        3,
                        MONDAY,
                        MONDAY + HOUR,
                        9,
                        false,
                        false,
                        List.of(),
                        List.of(),
                        "somebody else",
                        "upgrade");
        assertTrue(((WindowReplies.Planned) windows.propose(duplicate, MONDAY)).known());
        assertEquals(1, windows.all().size());
    }

    @Test
    void capacityOfALostAgentStaysOutUntilItsReturnIsProven() {
        windows.setPlan(plan(900, 3, 0), MONDAY);
        Window first =
                plannedWindow(
                        windows.propose(request("a", 3, MONDAY, MONDAY + 9 * HOUR, 0), MONDAY));
        Window second =
                plannedWindow(
                        windows.propose(request("b", 1, MONDAY, MONDAY + 90 * HOUR, 0), MONDAY));
        currentWindow(windows.begin(first.id(), MONDAY));
        long overdueTime = MONDAY + 5 * HOUR; // no report has arrived since the start
        windows.advance(overdueTime);
        assertTrue(windows.find(first.id()).isOverdue(overdueTime));
        assertInstanceOf(Rejection.class, windows.begin(second.id(), overdueTime));
        assertEquals(State.PUT_OFF, windows.find(second.id()).state());
        currentWindow(windows.report(first.id(), Step.OUT, 0, overdueTime));
        currentWindow(windows.report(first.id(), Step.WARMING, 0, overdueTime));
        currentWindow(windows.report(first.id(), Step.PROVEN, 200, overdueTime));
        assertEquals(
                100, windows.levels(overdueTime, overdueTime + 1, 1, overdueTime).get(0).missing());
        assertInstanceOf(
                Rejection.class,
                windows.report(first.id(), Step.DONE, 0, overdueTime),
                "a third of the capacity is not proven");
        currentWindow(windows.report(first.id(), Step.PROVEN, 300, overdueTime));
        currentWindow(windows.report(first.id(), Step.DONE, 0, overdueTime));
        assertEquals(
                State.PLANNED,
                windows.find(second.id()).state(),
                "the window is planned anew without a request");
    }

    @Test
    void outageAbortsLeastImportantDrainsFirstAndPostponesPlannedWindows() {
        windows.setPlan(plan(800, 3, 0), MONDAY);
        Window low =
                plannedWindow(
                        windows.propose(request("a", 2, MONDAY, MONDAY + 99 * HOUR, 1), MONDAY));
        Window high =
                plannedWindow(
                        windows.propose(request("b", 2, MONDAY, MONDAY + 99 * HOUR, 5), MONDAY));
        Window later =
                plannedWindow(
                        windows.propose(
                                request("c", 1, MONDAY + 2 * HOUR, MONDAY + 99 * HOUR, 1), MONDAY));
        currentWindow(windows.begin(low.id(), MONDAY));
        currentWindow(windows.begin(high.id(), MONDAY));
        windows.reportOutage("c", 200, MONDAY + MINUTE);
        assertEquals(State.RETURNING, windows.find(low.id()).state());
        assertEquals(
                State.DRAINING,
                windows.find(high.id()).state(),
                "the drain of higher priority goes on");
        assertEquals(
                State.PUT_OFF,
                windows.find(later.id()).state(),
                "no start fits while a window is returning");
        currentWindow(windows.report(low.id(), Step.PROVEN, 200, MONDAY + 5 * MINUTE));
        currentWindow(windows.report(low.id(), Step.DONE, 0, MONDAY + 5 * MINUTE));
        windows.reportOutage("c", 0, MONDAY + 6 * MINUTE);
        assertEquals(State.PLANNED, windows.find(low.id()).state());
        assertEquals(State.PLANNED, windows.find(later.id()).state());
    }

    @Test
    void withdrawnDrainCountsAsOutUntilItsReturnIsProven() {
        windows.setPlan(plan(1_000, 3, 0), MONDAY);
        Window first =
                plannedWindow(
                        windows.propose(request("a", 2, MONDAY, MONDAY + 9 * HOUR, 0), MONDAY));
        currentWindow(windows.begin(first.id(), MONDAY));
        assertEquals(
                State.RETURNING,
                currentWindow(windows.withdraw(first.id(), "ops", MONDAY + 1)).state());
        WindowRequest other = request("b", 2, MONDAY, MONDAY + 9 * HOUR, 0);
        assertInstanceOf(
                Rejection.class,
                windows.propose(other, MONDAY + 2),
                "the end of the return is not known");
        currentWindow(windows.report(first.id(), Step.PROVEN, 200, MONDAY + 3));
        assertEquals(
                State.WITHDRAWN,
                currentWindow(windows.report(first.id(), Step.DONE, 0, MONDAY + 4)).state());
        plannedWindow(windows.propose(other, MONDAY + 5));
    }

    @Test
    void rejectionNamesFloorShortfallAndNextPossibleStart() {
        windows.setPlan(plan(1_000, 3, 0), MONDAY);
        plannedWindow(windows.propose(request("a", 2, MONDAY, MONDAY + HOUR, 0), MONDAY));
        Rejection rejection =
                assertInstanceOf(
                        Rejection.class,
                        windows.propose(request("b", 2, MONDAY, MONDAY + 80 * MINUTE, 0), MONDAY));
        assertTrue(rejection.why().startsWith("floor all would be short by "), rejection.why());
        assertTrue(
                rejection.why().contains("would do from " + (MONDAY + rejection.retryMs())),
                rejection.why());
        assertEquals(1, windows.all().size(), "a rejected request must leave no window");
    }

    @Test
    void emergencyDisplacesPlannedWindowsButKeepsTheFloor() {
        windows.setPlan(plan(1_000, 3, 0), MONDAY);
        Window ordinary =
                plannedWindow(
                        windows.propose(request("a", 2, MONDAY, MONDAY + 9 * HOUR, 9), MONDAY));
        WindowRequest request = request("b", 2, MONDAY, MONDAY + 9 * HOUR, 0);
        Window emergency =
                plannedWindow(
                        windows.propose(
                                emergencyRequest(
                                        "b",
                                        request.nodes(),
                                        10 * MINUTE,
                                        30 * MINUTE,
                                        20 * MINUTE),
                                MONDAY));
        assertEquals(MONDAY, emergency.start());
        assertTrue(windows.find(ordinary.id()).why().startsWith("moved from " + ordinary.start()));
        assertInstanceOf(
                Rejection.class,
                windows.propose(
                        emergencyRequest("c", List.of("c0", "c1", "c2"), 0, HOUR, 0), MONDAY));
    }

    @Test
    void splittableRequestIsPlannedInParts() {
        windows.setPlan(plan(1_000, 3, 0), MONDAY);
        WindowRequest whole =
                new WindowRequest(
                        "a",
                        List.of("a0", "a1", "a2", "a3"),
                        0,
                        HOUR,
                        0,
                        MONDAY,
                        MONDAY + 9 * HOUR,
                        0,
                        false,
                        true,
                        List.of(),
                        List.of(),
                        "ops",
                        "upgrade");
        List<Window> parts = ((WindowReplies.Planned) windows.propose(whole, MONDAY)).windows();
        assertEquals(2, parts.size());
        assertEquals(parts.get(0).plannedEnd(), parts.get(1).start());
    }

    @Test
    void orderSpacingAndExclusionAreRespected() {
        windows.setPlan(plan(0, 1, 30 * MINUTE), MONDAY);
        Window first =
                plannedWindow(
                        windows.propose(request("a", 1, MONDAY, MONDAY + 99 * HOUR, 0), MONDAY));
        WindowRequest second =
                new WindowRequest(
                        "a",
                        List.of("a1"),
                        0,
                        HOUR,
                        0,
                        MONDAY,
                        MONDAY + 99 * HOUR,
                        0,
                        false,
                        false,
                        List.of(first.id()),
                        List.of(),
                        "ops",
                        "later");
        Window after = plannedWindow(windows.propose(second, MONDAY));
        assertTrue(
                after.start() >= first.plannedEnd() + 30 * MINUTE,
                "the spacing of the region must pass in between");
        Window other =
                plannedWindow(
                        windows.propose(request("b", 1, MONDAY, MONDAY + 99 * HOUR, 0), MONDAY));
        assertTrue(
                other.start() >= first.plannedEnd() && other.plannedEnd() <= after.start()
                        || other.start() >= after.plannedEnd(),
                "only one region may be in maintenance at a time");
        assertInstanceOf(
                Rejection.class,
                windows.begin(after.id(), after.start()),
                "the predecessor is not done");
    }

    @Test
    void blackOutFollowsLocalTimeAcrossADaylightSavingChange() {
        long offsetChange = MONDAY + 6 * 24 * HOUR + HOUR; // Sunday 01:00 UTC: from +1 h to +2 h
        FleetPlan plan =
                new FleetPlan(
                        MINUTE,
                        Map.of(
                                "Z",
                                List.of(
                                        new FleetPlan.UtcOffsetChange(0, HOUR),
                                        new FleetPlan.UtcOffsetChange(offsetChange, 2 * HOUR))),
                        List.of(
                                region(
                                        "a",
                                        List.of(
                                                new FleetPlan.BlackOut(
                                                        List.of(6, 7, 1), 22 * 60, 6 * 60)))),
                        List.of(),
                        1,
                        0,
                        310);
        windows.setPlan(plan, MONDAY);
        // On Saturday the black-out begins at 22:00 local time, 21:00 UTC.
        long saturday = MONDAY + 5 * 24 * HOUR;
        Window window =
                plannedWindow(
                        windows.propose(
                                request(
                                        "a",
                                        1,
                                        saturday + 20 * HOUR + MINUTE,
                                        saturday + 48 * HOUR,
                                        0),
                                MONDAY));
        assertEquals(
                saturday + 28 * HOUR,
                window.start(),
                "6:00 local time is 4:00 UTC after the change");
    }

    @Test
    void repeatedStepsAreIdempotentAndOutOfOrderStepsAreRejected() {
        windows.setPlan(plan(0, 3, 0), MONDAY);
        Window window =
                plannedWindow(
                        windows.propose(request("a", 1, MONDAY, MONDAY + 9 * HOUR, 0), MONDAY));
        assertInstanceOf(Rejection.class, windows.report(window.id(), Step.OUT, 0, MONDAY));
        currentWindow(windows.begin(window.id(), MONDAY));
        Window begun = currentWindow(windows.begin(window.id(), MONDAY + 5));
        assertEquals(MONDAY, begun.begun());
        assertInstanceOf(Rejection.class, windows.report(window.id(), Step.WARMING, 0, MONDAY));
        currentWindow(windows.report(window.id(), Step.OUT, 0, MONDAY));
        Window out = currentWindow(windows.report(window.id(), Step.OUT, 0, MONDAY + 9));
        assertEquals(MONDAY, out.since());
        ImageCheck.assertRoundTrips(windows);
        assertEquals(
                State.DONE,
                runToCompletion(
                                plannedWindow(
                                        windows.propose(
                                                request("b", 1, MONDAY, MONDAY + 9 * HOUR, 0),
                                                MONDAY)),
                                MONDAY)
                        .state());
    }

    /** Checks that a copy made through an image equals the original. */
    private static final class ImageCheck {
        static void assertRoundTrips(Windows windows) {
            assertEquals(windows.image(), new Windows(windows.image()).image());
        }
    }

    /** Proposes a window, or applies a random command to an existing one. */
    private static void applyRandomChange(Windows tested, Random random, long now, int step) {
        String region = "abc".substring(random.nextInt(3)).substring(0, 1);
        List<Window> allWindows = new ArrayList<>(tested.all());
        Window existing =
                allWindows.isEmpty() ? null : allWindows.get(random.nextInt(allWindows.size()));
        if (existing == null || random.nextInt(5) == 0) {
            WindowRequest template =
                    request(region, 1 + random.nextInt(3), now, now + 24 * HOUR, random.nextInt(4));
            tested.propose(
                    new WindowRequest(
                            region,
                            template.nodes(),
                            template.drainMs(),
                            template.workMs(),
                            template.warmMs(),
                            now,
                            template.latest(),
                            template.priority(),
                            random.nextInt(6) == 0,
                            random.nextBoolean(),
                            List.of(),
                            random.nextInt(3) == 0 ? List.of("db") : List.of(),
                            "ops",
                            "p" + step),
                    now);
            return;
        }
        switch (random.nextInt(8)) {
            case 0 -> tested.withdraw(existing.id(), "ops", now);
            case 1 -> tested.pause(existing.id(), random.nextBoolean(), "ops", now);
            case 2 -> tested.report(existing.id(), Step.PROVEN, random.nextInt(400), now);
            case 3, 4 -> tested.report(existing.id(), Step.values()[random.nextInt(4)], 400, now);
            default -> tested.begin(existing.id(), now);
        }
    }

    /**
     * Applies random commands in random order. Guards against a window that is allowed to begin
     * although a floor would be breached.
     */
    @Property(tries = 60)
    void allowedWindowsNeverBreachAFloor(@ForAll long seed) {
        Random random = new Random(seed);
        Windows tested = new Windows();
        long floor = 700 + random.nextInt(400);
        tested.setPlan(plan(floor, 1 + random.nextInt(3), random.nextInt(2) * 20 * MINUTE), MONDAY);
        long now = MONDAY;
        for (int i = 0; i < 150; i++) {
            now += random.nextInt(12) * MINUTE;
            tested.advance(now);
            applyRandomChange(tested, random, now, i);
            for (Windows.FloorLevel level : tested.levels(now, now + 1, 1, now)) {
                assertTrue(level.capacity() >= level.need(), "at step " + i + ": " + level);
            }
            ImageCheck.assertRoundTrips(tested);
        }
    }
}
