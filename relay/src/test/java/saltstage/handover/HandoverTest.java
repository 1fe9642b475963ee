package saltstage.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What two processes of a relay know of each other. */
class HandoverTest {
    @TempDir private Path dir;

    @Test
    void bothSeeEachOthersBansAndNoneUndoesTheOthers() throws IOException {
        Bans one = new Bans(dir, "n0");
        Bans two = new Bans(dir, "n0");
        one.set("s-1", true);
        two.set("s-2", true); // had not looked at the file since
        assertEquals(Set.of("s-1", "s-2"), two.all());
        assertFalse(one.has("s-2"));
        one.refresh();
        assertTrue(one.has("s-2"));
        two.set("s-1", false);
        one.refresh();
        assertEquals(Set.of("s-2"), one.all());
        assertEquals(Set.of("s-2"), fresh().all());
    }

    private Bans fresh() throws IOException {
        Bans later = new Bans(dir, "n0");
        later.refresh();
        return later;
    }

    @Test
    void tornFileLeavesWhatIsKnownAndIsReplacedByTheNextChange() throws IOException {
        Bans bans = new Bans(dir, "n0");
        bans.set("s-1", true);
        Path file = dir.resolve("n0.bans");
        Files.write(file, new byte[] {1, 2, 3});
        assertThrows(IOException.class, bans::refresh);
        assertTrue(bans.has("s-1"));
        bans.set("s-1", true);
        assertTrue(fresh().has("s-1"));
    }

    @Test
    void wholeFileIsReadWholeOrNotAtAll() throws IOException {
        Path path = dir.resolve("some");
        Whole file = new Whole(path, "kind 1");
        assertNull(file.read());
        file.write(new byte[] {5, 6});
        assertArrayEquals(new byte[] {5, 6}, file.read());
        assertThrows(IOException.class, () -> new Whole(path, "kind 2").read());
        byte[] all = Files.readAllBytes(path);
        for (int cut = 0; cut < all.length; cut++) {
            Files.write(path, java.util.Arrays.copyOf(all, cut));
            assertThrows(IOException.class, file::read);
        }
    }

    @Test
    void twoTogetherNeverHaveMoreDescriptorsThanTheLimit() throws IOException {
        Path path = dir.resolve("slots");
        for (int used : new int[] {10, 150, 200, 300, 390}) {
            Slots old = Slots.claim(path.resolveSibling("slots" + used), 400);
            old.say(Slots.Phase.READY);
            assertEquals(400, old.share(used));
            Slots next = Slots.claim(path.resolveSibling("slots" + used), 400);
            int first = next.share(10);
            assertTrue(first <= 100, "before it was seen: " + first);
            int kept = old.share(used);
            assertTrue(kept + next.share(10) <= 400, used + " keeps " + kept);
            assertTrue(kept >= 200);
            next.say(Slots.Phase.READY);
            assertTrue(old.othersServe());
            assertTrue(old.share(used / 2) <= kept);
            old.say(Slots.Phase.LEAVING);
            assertTrue(old.share(used / 3) + next.share(10) <= 400);
            assertThrows(
                    IOException.class, () -> Slots.claim(path.resolveSibling("slots" + used), 400));
        }
    }
}
