package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Files that were changed behind the store's back: the exact state or one clean refusal, every
 * time.
 */
class DamageTest {
    private final FaultDisk disk = new FaultDisk();
    private TreeMap<String, String> acked;

    @BeforeEach
    void night() throws IOException {
        Night night = new Night().open(disk);
        night.run();
        acked = night.acked;
    }

    private static String nameOf(FaultDisk on, String ending) {
        return on.list().stream().filter(name -> name.endsWith(ending)).findFirst().orElseThrow();
    }

    /** 1: refused cleanly; 0: the exact state. Anything else fails. */
    private int outcome(FaultDisk changed, String what) {
        try (Store store = Store.open(changed, Night.SMALL, StoreEvents.NONE)) {
            assertEquals(acked, Night.dump(store), what);
            store.put(Night.bytes("after"), Night.bytes("all"));
            return 0;
        } catch (StoreException refused) {
            assertTrue(
                    refused.getMessage().matches("damaged: \\S+ at \\d+: .*"),
                    what + ": " + refused);
            return 1;
        } catch (IOException | RuntimeException other) {
            return fail(what + ": " + other, other);
        }
    }

    @Test
    void everyFileCutAtEveryByte() {
        int[] counts = new int[2];
        for (String name : disk.list()) {
            byte[] whole = disk.content(name);
            for (int length = 0; length < whole.length; length++) {
                FaultDisk cut = disk.copy();
                cut.put(name, Arrays.copyOf(whole, length));
                int outcome = outcome(cut, name + " cut to " + length);
                assertEquals(1, outcome, name + " cut to " + length + " looks like a shorter log");
                counts[outcome]++;
            }
        }
        System.out.println(
                "cut at every byte of "
                        + disk.list().size()
                        + " files: exact "
                        + counts[0]
                        + ", refused "
                        + counts[1]);
    }

    @Test
    void everyByteOfEveryFileFlipped() {
        int[] counts = new int[2];
        for (String name : disk.list()) {
            byte[] whole = disk.content(name);
            for (int at = 0; at < whole.length; at++) {
                for (int mask : new int[] {0x01, 0xff}) {
                    byte[] flipped = whole.clone();
                    flipped[at] ^= (byte) mask;
                    FaultDisk changed = disk.copy();
                    changed.put(name, flipped);
                    counts[outcome(changed, name + " flipped at " + at)]++;
                }
            }
        }
        System.out.println(
                "every byte of "
                        + disk.list().size()
                        + " files flipped: exact "
                        + counts[0]
                        + ", refused "
                        + counts[1]);
        assertTrue(counts[0] > 0 && counts[1] > 0);
    }

    @Test
    void aMissingFileIsRefused() {
        for (String name : disk.list()) {
            FaultDisk without = disk.copy();
            without.remove(name);
            assertEquals(1, outcome(without, "without " + name));
        }
    }

    @Test
    void aForeignSegmentIsRefused() throws IOException {
        FaultDisk other = new FaultDisk();
        new Night().open(other).run();
        for (String name : other.list()) {
            FaultDisk mixed = disk.copy();
            mixed.put(name, other.content(name));
            assertEquals(1, outcome(mixed, "with a foreign " + name));
        }
    }

    @Test
    void anOlderManifestIsRefusedAndNotTakenForTheState() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=1");
        byte[] older = young.content(Manifest.NAME);
        for (int i = 0; i < 30; i++) {
            night.commit("a=" + "x".repeat(100) + i);
        }
        acked = night.acked;
        FaultDisk mixed = young.copy();
        mixed.put(Manifest.NAME, older);
        assertEquals(1, outcome(mixed, "an older manifest over a newer log"));
    }

    @Test
    void theLastRecordComesBackFromItsMirrorAndItsLossIsToldFromATornTail() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=1");
        night.commit("b=2");
        String log = nameOf(young, ".log");
        byte[] whole = young.content(log);
        int last = Frames.HEADER + Frames.align(Frames.HEAD + whole[Frames.HEADER + 11]);
        whole[last + Frames.HEAD + 10] ^= 1;
        young.put(log, whole);
        Night after = new Night().open(young.copy());
        assertEquals(night.acked, Night.dump(after.store));
        assertTrue(after.told.get(0).startsWith("store.restored"), after.told.toString());
        try (Store reading = Store.openToRead(young.copy(), StoreEvents.NONE)) {
            assertEquals(night.acked, Night.dump(reading));
        }
    }

    @Test
    void aLargeLastRecordIsRefusedByItsMark() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=" + "x".repeat(Frames.MOST_MIRRORED + 1));
        acked = night.acked;
        assertEquals(0, outcome(young.copy(), "unharmed"));
        String log =
                young.list().stream()
                        .filter(name -> young.content(name).length > Frames.MOST_MIRRORED)
                        .findFirst()
                        .orElseThrow();
        byte[] whole = young.content(log);
        whole[Frames.MOST_MIRRORED / 2] ^= 1;
        FaultDisk changed = young.copy();
        changed.put(log, whole);
        assertEquals(1, outcome(changed, "a large record flipped"));
    }

    /**
     * The log's end in every state that damage to the last record and to its mirror can leave it
     * in.
     */
    @Test
    void aLastRecordDamagedWithItsMirrorIsRefusedAndLeftAlone() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=1");
        night.commit("b=2");
        acked = night.acked;
        String log = nameOf(young, ".log");
        byte[] whole = young.content(log);
        int payload = Frames.BATCH_HEAD + Frames.ENTRY_HEAD + 2;
        int group = Frames.HEADER + Frames.align(Frames.HEAD + payload);
        int mirror = group + Frames.align(Frames.HEAD + payload);
        int end = mirror + Frames.behind(mirror - group);
        int refused = 0;
        for (int first = group; first < mirror; first++) {
            for (int second = mirror; second < end; second++) {
                byte[] damaged = whole.clone();
                damaged[first] ^= 0x10;
                damaged[second] ^= 0x10;
                FaultDisk changed = young.copy();
                changed.put(log, damaged);
                int outcome = outcome(changed, "flipped at " + first + " and " + second);
                assertTrue(
                        outcome == 0 || Arrays.equals(damaged, changed.content(log)),
                        "left as it was");
                refused += outcome;
            }
        }
        assertEquals(
                (Frames.HEAD + payload) * (Frames.HEAD + Frames.MIRROR_HEAD + mirror - group),
                refused);
        for (int from = group; from < end; from++) { // as if the tail had never been written
            byte[] zeroed = whole.clone();
            Arrays.fill(zeroed, from, zeroed.length, (byte) 0);
            FaultDisk changed = young.copy();
            changed.put(log, zeroed);
            int wanted = from < group + Frames.HEAD + payload ? 1 : 0;
            assertEquals(wanted, outcome(changed, "zeros from " + from), "zeros from " + from);
        }
        System.out.println("the last record and its mirror both damaged: refused " + refused);
    }

    /**
     * Files of an older day under a newer word of what was acknowledged: nothing says so but that.
     */
    @Test
    void anOlderLogOrAnotherStoresWordIsRefused() throws IOException {
        FaultDisk old = new FaultDisk();
        Night night = new Night().open(old);
        night.commit("a=1");
        FaultDisk mixed = old.copy();
        night.commit("a=2");
        mixed.put(Acknowledged.NAME, old.content(Acknowledged.NAME));
        acked = night.acked;
        assertEquals(1, outcome(mixed, "an older log"));
        FaultDisk foreign = old.copy();
        foreign.put(Acknowledged.NAME, disk.content(Acknowledged.NAME));
        assertEquals(1, outcome(foreign, "another store's word"));
        FaultDisk spoilt = old.copy();
        byte[] word = old.content(Acknowledged.NAME);
        word[8] ^= 1;
        word[Acknowledged.SLOT + 8] ^= 1;
        spoilt.put(Acknowledged.NAME, word);
        assertEquals(1, outcome(spoilt, "neither slot sound"));
        FaultDisk bare = new FaultDisk();
        bare.put(Acknowledged.NAME, old.content(Acknowledged.NAME));
        assertEquals(1, outcome(bare, "nothing but the word"));
    }

    /** Loses all that was not forced. */
    private static FaultDisk withoutPower(FaultDisk running) {
        return running.afterCrash(
                new Random() {
                    private static final long serialVersionUID = 1L;

                    @Override
                    public boolean nextBoolean() {
                        return false;
                    }
                });
    }

    /** The log as it was before: what was written since is lost, and its mirror with it. */
    private static FaultDisk withTailOf(FaultDisk before, FaultDisk now) {
        String log = nameOf(now, ".log");
        now.put(log, before.content(log));
        return now;
    }

    /**
     * Once writing rests, or the store is closed, a loss of power does not forget what was
     * acknowledged.
     */
    @Test
    void whatWasAcknowledgedIsDurableOnceWritingRests() throws Exception {
        FaultDisk ended = new FaultDisk();
        Night night = new Night().open(ended);
        for (int i = 0; i < 9; i++) {
            night.commit("before" + i + "=1");
        }
        night.store.checkpoint(); // larger than what comes after it: the end writes none
        FaultDisk before = ended.copy();
        night.commit("a=1");
        acked = night.acked;
        assertEquals(0, outcome(withoutPower(ended).copy(), "unharmed"));
        night.store.close();
        assertEquals(1, outcome(withTailOf(before, withoutPower(ended)), "closed"));

        FaultDisk rests = new FaultDisk();
        StoreOptions tended = new StoreOptions(2048, true, 1 << 30);
        try (Store store = Store.open(rests, tended, StoreEvents.NONE)) {
            FaultDisk young = rests.copy();
            store.put(Night.bytes("a"), Night.bytes("1"));
            Frames.StoreId id = Manifest.read(rests).store();
            for (int i = 0; i < 2000 && Acknowledged.read(withoutPower(rests), id) < 1; i++) {
                Thread.sleep(10);
            }
            assertEquals(1, outcome(withTailOf(young, withoutPower(rests)), "at rest"));
        }
    }

    /** A write that is cut off spoils a slot: never the one that the last force made sure of. */
    @Test
    void oneSlotIsAlwaysLeftAlone() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        for (int i = 0; i < 4; i++) {
            night.commit("a=" + i);
            night.commit("b=" + i);
            byte[] sure = withoutPower(young).content(Acknowledged.NAME);
            byte[] now = young.content(Acknowledged.NAME);
            boolean first = Arrays.equals(sure, 0, Acknowledged.SLOT, now, 0, Acknowledged.SLOT);
            boolean second =
                    Arrays.equals(
                            sure,
                            Acknowledged.SLOT,
                            Acknowledged.SIZE,
                            now,
                            Acknowledged.SLOT,
                            Acknowledged.SIZE);
            assertTrue(first ^ second, "round " + i);
            acked = night.acked;
            FaultDisk spoilt = young.copy();
            byte[] cut = now.clone();
            Arrays.fill(
                    cut,
                    first ? Acknowledged.SLOT : 0,
                    (first ? Acknowledged.SLOT : 0) + 20,
                    (byte) 0);
            spoilt.put(Acknowledged.NAME, cut);
            Frames.StoreId id = Manifest.read(young).store();
            assertEquals(
                    Acknowledged.read(withoutPower(young), id),
                    Acknowledged.read(spoilt, id),
                    "what the last force made sure of");
            assertEquals(0, outcome(spoilt, "cut off in its slot"));
            if (i == 1) {
                young = young.copy(); // killed: what was written stays, but nobody forced it
            } else {
                night.store.close();
            }
            night = new Night();
            night.acked = acked;
            night.open(young);
        }
    }

    /** After a kill the higher slot may be unforced: that is the one to be written over. */
    @Test
    void anOpeningWritesOverTheSlotThatMayNotBeDurable() throws IOException {
        for (int commits = 1; commits <= 2; commits++) {
            FaultDisk young = new FaultDisk();
            Night night = new Night().open(young);
            night.commit("a=1");
            if (commits == 2) {
                night.store.close();
                night = new Night().open(young);
                night.commit("a=2");
            }
            Frames.StoreId id = Manifest.read(young).store();
            byte[] before = young.content(Acknowledged.NAME);
            int higher = slotSays(before, 0) > slotSays(before, 1) ? 0 : 1;
            FaultDisk killed = young.copy();
            killed.arm(1, FaultDisk.Fault.CRASH); // the force
            assertThrows(FaultDisk.Crash.class, () -> Acknowledged.open(killed, id, 9));
            byte[] after = killed.content(Acknowledged.NAME);
            assertEquals(9, slotSays(after, higher));
            assertEquals(slotSays(before, 1 - higher), slotSays(after, 1 - higher));
        }
    }

    private static long slotSays(byte[] file, int slot) {
        return ByteBuffer.wrap(file).getLong(slot * Acknowledged.SLOT + 32);
    }

    /**
     * A group that a crash left whole is shown after it: from then on it must not vanish either.
     */
    @Test
    void whatARecoveryHasShownIsAsGoodAsAcknowledged() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=1");
        FaultDisk before = young.copy();
        young.arm(1, FaultDisk.Fault.CRASH); // the force of the next commit
        assertThrows(FaultDisk.Crash.class, () -> night.commit("b=2"));
        FaultDisk left =
                young.afterCrash(
                        new Random() {
                            private static final long serialVersionUID = 1L;

                            @Override
                            public boolean nextBoolean() {
                                return true;
                            }
                        });
        acked = night.asked;
        assertEquals(acked, Night.dump(new Night().open(left).store));
        assertEquals(1, outcome(withTailOf(before, withoutPower(left)), "shown, then lost"));
    }

    /** A store from before there was such a file gets one, and misses it from then on. */
    @Test
    void aStoreOfTheFirstFormatIsTakenOver() throws IOException {
        Manifest now = Manifest.decoded(ByteBuffer.wrap(disk.content(Manifest.NAME)));
        byte[] former =
                new Manifest(
                                (short) 1,
                                now.store(),
                                now.generation(),
                                now.nextId(),
                                now.checkpoint(),
                                now.parts())
                        .encoded()
                        .array();
        FaultDisk first = disk.copy();
        first.put(Manifest.NAME, former);
        first.delete(Acknowledged.NAME);
        try (Store reading = Store.openToRead(first.copy(), StoreEvents.NONE)) {
            assertEquals(acked, Night.dump(reading));
        }
        Night next = new Night().open(first);
        assertEquals(acked, Night.dump(next.store));
        assertTrue(first.list().contains(Acknowledged.NAME));
        next.store.checkpoint();
        FaultDisk without = first.copy();
        without.remove(Acknowledged.NAME);
        assertEquals(1, outcome(without, "the file is gone"));
    }

    /** What is wrong in a large checkpoint is told by its place, not only that something is. */
    @Test
    void aDamagedBlockOfACheckpointIsNamedByItsPlace() throws IOException {
        FaultDisk large = new FaultDisk();
        try (Store store =
                Store.open(large, new StoreOptions(1 << 20, false, 1 << 30), StoreEvents.NONE)) {
            Batch batch = new Batch();
            for (int i = 0; i < 4000; i++) {
                batch.put(Night.bytes("key" + i), Night.bytes("1"));
            }
            store.commit(batch);
            store.checkpoint();
        }
        String index = nameOf(large, ".index");
        byte[] content = large.content(index);
        int second = 64 + 8 + ByteBuffer.wrap(content).getInt(64);
        content[second + 8 + 14 + 7] ^=
                1; // the last byte of a version: nothing else would miss it in place
        large.put(index, content);
        StoreException refused =
                assertThrows(
                        StoreException.Damaged.class,
                        () -> Store.openToRead(large, StoreEvents.NONE));
        assertEquals(
                "damaged: " + index + " at " + second + ": the block's checksum does not match",
                refused.getMessage());
    }

    @Test
    void aValueThatLooksLikeAFrameIsNone() throws IOException {
        FaultDisk young = new FaultDisk();
        Night night = new Night().open(young);
        night.commit("a=1");
        String log = nameOf(young, ".log");
        Manifest manifest = Manifest.decoded(ByteBuffer.wrap(young.content(Manifest.NAME)));
        ByteBuffer made = ByteBuffer.allocate(400);
        for (int i = 0;
                i < 8;
                i++) { // of a later record, at each alignment that it could come to stand at
            made.position(made.position() + 1);
            int start = Frames.beginFrame(made, Frames.GROUP, 1, 1000);
            Frames.endFrame(made, start, new Frames.Seed(manifest.store(), 1), 64);
        }
        byte[] frame = made.array();
        night.store.put(Night.bytes("b"), frame);
        night.store.put(Night.bytes("c"), frame);
        try (Store again = Store.open(young.copy(), Night.SMALL, StoreEvents.NONE)) {
            assertTrue(Arrays.equals(frame, again.get(Night.bytes("c"))));
        }
    }

    @Test
    void aDamagedValueIsRefusedWhenItIsRead() throws IOException {
        Night.dump(Store.openToRead(disk.copy(), StoreEvents.NONE));
        String copy =
                disk.list().stream()
                        .filter(name -> name.endsWith(".copy"))
                        .findFirst()
                        .orElseThrow();
        byte[] content = disk.content(copy);
        content[content.length - 20] ^= 1;
        disk.put(copy, content);
        try (Store store = Store.openToRead(disk, StoreEvents.NONE)) {
            StoreException refused = assertThrows(StoreException.Damaged.class, store::verify);
            assertTrue(
                    refused.getMessage().startsWith("damaged: " + copy + " at "),
                    refused.getMessage());
        }
    }
}
