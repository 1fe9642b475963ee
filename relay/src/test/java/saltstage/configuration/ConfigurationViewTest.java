package saltstage.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against changes that are applied out of order, twice, or with a wrong digest. */
class ConfigurationViewTest {
    private static final EntryKey SHARD = EntryKey.parse("shard/topic-7/3");
    private static final EntryKey OTHER = EntryKey.parse("shard/topic-7/4");

    private final ConfigurationView writer = new ConfigurationView();
    private final ConfigurationView follower = new ConfigurationView();

    private Change placeShard(EntryKey shard, String backend) {
        return writer.accept(List.of(new Mutation(shard, new EntryValue.Shard(backend))));
    }

    @Test
    void changeAfterAGapIsNotApplied() {
        placeShard(SHARD, "gw-1");
        Change second = placeShard(OTHER, "gw-2");
        assertEquals(ConfigurationView.Outcome.GAP, follower.apply(second));
        Change emptyButWithAGap = new Change(2, EntryDigest.EMPTY, List.of());
        assertEquals(ConfigurationView.Outcome.GAP, follower.apply(emptyButWithAGap));
        assertEquals(0, follower.revision());
    }

    @Test
    void changeWithWrongDigestIsNotApplied() {
        Change first = placeShard(SHARD, "gw-1");
        Change altered = new Change(1, first.digest() + 1, first.mutations());
        assertEquals(ConfigurationView.Outcome.DIVERGED, follower.apply(altered));
        assertEquals(0, follower.entries().size());
        assertEquals(0, follower.revision());
        assertEquals(ConfigurationView.Outcome.APPLIED, follower.apply(first));
        assertEquals(ConfigurationView.Outcome.ALREADY_APPLIED, follower.apply(first));
        assertEquals(writer.entries(), follower.entries());
    }

    @Test
    void digestDependsOnlyOnEntriesAndTheirRevisions() {
        placeShard(SHARD, "gw-1");
        long before = writer.digest();
        placeShard(OTHER, "gw-1");
        writer.accept(List.of(new Mutation(OTHER, null)));
        assertEquals(before, writer.digest());
        ConfigurationView rebuilt =
                new ConfigurationView(writer.revision(), writer.entries().values());
        assertEquals(before, rebuilt.digest());
        placeShard(SHARD, "gw-2");
        placeShard(SHARD, "gw-1");
        assertNotEquals(before, writer.digest());
    }
}
