package saltstage.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import saltstage.wire.MalformedException;

/**
 * Guards against a follower that differs from the writer at the same revision, or never reaches its
 * newest one. Writes, paged snapshots, reconnects and late, lost or duplicated responses are
 * interleaved at random.
 */
class FollowerConvergenceTest {
    private static final int STEPS = 120;
    private static final int KEYS = 12;
    private static final int MAX_HISTORY_CHANGES = 6;

    /** The writer's side, with the entries of each revision. */
    private static final class Source {
        final ConfigurationView view = new ConfigurationView();
        final ChangeHistory history =
                new ChangeHistory(0, EntryDigest.EMPTY, MAX_HISTORY_CHANGES, 1 << 20);
        final SnapshotPager pager = new SnapshotPager();
        final Map<Long, Map<EntryKey, Entry>> entriesByRevision = new HashMap<>();

        Source() {
            entriesByRevision.put(0L, Map.of());
        }

        void acceptRandomChange(Random random) {
            List<Mutation> mutations = new ArrayList<>();
            for (int i = random.nextInt(4); i >= 0; i--) {
                EntryKey key = new EntryKey(EntryKind.SHARD, "t/" + random.nextInt(KEYS));
                EntryValue value = new EntryValue.Shard("gw-" + random.nextInt(3));
                mutations.add(new Mutation(key, random.nextInt(4) == 0 ? null : value));
            }
            history.append(view.accept(mutations));
            entriesByRevision.put(view.revision(), new TreeMap<>(view.entries()));
        }

        /** Returns the text of a response, or null if the follower needs a snapshot. */
        String changesAfter(ConfigurationView follower, int limit) {
            ChangeHistory.Result result =
                    history.changesAfter(follower.revision(), follower.digest(), limit);
            return result instanceof ChangeHistory.Changes found
                    ? ConfigurationJson.toJson(
                            new ChangesResponse(view.revision(), view.digest(), found.changes()))
                    : null;
        }
    }

    /** The follower's side, with responses in flight and a partially received snapshot. */
    private static final class Follower {
        ConfigurationView view = new ConfigurationView();
        final List<String> inFlightResponses = new ArrayList<>();
        final List<Entry> receivedEntries = new ArrayList<>();
        SnapshotPage lastPage;

        void applyResponse(String response) throws MalformedException {
            for (Change change : ConfigurationJson.parseChanges(response).changes()) {
                view.apply(change);
            }
        }

        void fetchNextPage(Source source, int limit) throws MalformedException {
            long revision = lastPage == null ? SnapshotPager.NEWEST : lastPage.revision();
            EntryKey from = lastPage == null ? null : lastPage.next();
            SnapshotPage page = source.pager.page(source.view, revision, from, limit);
            if (page == null) {
                lastPage = null;
                receivedEntries.clear();
                return;
            }
            lastPage = ConfigurationJson.parseSnapshotPage(ConfigurationJson.toJson(page));
            receivedEntries.addAll(lastPage.entries());
            if (lastPage.next() == null) {
                installSnapshot();
            }
        }

        private void installSnapshot() {
            ConfigurationView snapshot =
                    new ConfigurationView(lastPage.revision(), receivedEntries);
            assertEquals(
                    lastPage.digest(), snapshot.digest(), "the pages are not all of one revision");
            view = snapshot.revision() >= view.revision() ? snapshot : view;
            lastPage = null;
            receivedEntries.clear();
        }
    }

    @Property(tries = 500)
    void followerEqualsTheWriterAtTheSameRevision(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int limit)
            throws MalformedException {
        Random random = new Random(seed);
        Source source = new Source();
        Follower follower = new Follower();
        for (int step = 0; step < STEPS; step++) {
            step(source, follower, random, limit);
            assertEquals(
                    source.entriesByRevision.get(follower.view.revision()),
                    follower.view.entries(),
                    "at revision " + follower.view.revision());
        }
        follower.inFlightResponses.clear();
        for (int i = 0; i < STEPS && follower.view.revision() < source.view.revision(); i++) {
            String response = source.changesAfter(follower.view, limit);
            if (response == null) {
                follower.fetchNextPage(source, limit);
            } else {
                follower.applyResponse(response);
            }
        }
        assertEquals(source.view.entries(), follower.view.entries());
        assertEquals(source.view.digest(), follower.view.digest());
    }

    private static void step(Source source, Follower follower, Random random, int limit)
            throws MalformedException {
        switch (random.nextInt(6)) {
            case 0, 1 -> source.acceptRandomChange(random);
            case 2 -> {
                String response = source.changesAfter(follower.view, limit);
                if (response == null) {
                    follower.fetchNextPage(source, limit);
                } else {
                    follower.inFlightResponses.add(response);
                }
            }
            case 3 -> {
                if (!follower.inFlightResponses.isEmpty()) {
                    // The response is delivered late, out of order and possibly twice.
                    int index = random.nextInt(follower.inFlightResponses.size());
                    follower.applyResponse(follower.inFlightResponses.get(index));
                    if (random.nextBoolean()) {
                        follower.inFlightResponses.remove(index);
                    }
                }
            }
            case 4 -> follower.fetchNextPage(source, limit);
            default -> follower.inFlightResponses.removeIf(response -> random.nextInt(3) == 0);
        }
    }

    @Property(tries = 100)
    void snapshotsArePagedAtOneRevisionAndOnlyTheNewestTwoAreRetained(@ForAll long seed) {
        Random random = new Random(seed);
        Source source = new Source();
        List<Long> revisions = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            source.acceptRandomChange(random);
            revisions.add(source.pager.page(source.view, SnapshotPager.NEWEST, null, 1).revision());
        }
        for (int i = 0; i < revisions.size(); i++) {
            SnapshotPage page = source.pager.page(source.view, revisions.get(i), null, 5_000);
            assertEquals(i < revisions.size() - 2, page == null, "snapshot " + revisions.get(i));
            assertTrue(
                    page == null
                            || page.entries().size()
                                    == source.entriesByRevision.get(revisions.get(i)).size());
        }
    }
}
