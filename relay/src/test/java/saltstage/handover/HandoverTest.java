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

/**
 * The files that two processes of a relay share. Guards against lost suspensions when both change
 * them, against use of a torn file, and against a descriptor limit exceeded by both together.
 */
class HandoverTest {
    @TempDir private Path dir;

    @Test
    void bothSeeEachOthersSuspensionsAndNoneUndoesTheOthers() throws IOException {
        Suspensions one = new Suspensions(dir, "n0");
        Suspensions two = new Suspensions(dir, "n0");
        one.setSuspended("s-1", true);
        two.setSuspended("s-2", true); // has not read the file since the first change
        assertEquals(Set.of("s-1", "s-2"), two.all());
        assertFalse(one.isSuspended("s-2"));
        one.refresh();
        assertTrue(one.isSuspended("s-2"));
        two.setSuspended("s-1", false);
        one.refresh();
        assertEquals(Set.of("s-2"), one.all());
        assertEquals(Set.of("s-2"), reopened().all());
    }

    private Suspensions reopened() throws IOException {
        Suspensions later = new Suspensions(dir, "n0");
        later.refresh();
        return later;
    }

    @Test
    void tornFileLeavesWhatIsKnownAndIsReplacedByTheNextChange() throws IOException {
        Suspensions suspensions = new Suspensions(dir, "n0");
        suspensions.setSuspended("s-1", true);
        Path file = dir.resolve("n0.bans");
        Files.write(file, new byte[] {1, 2, 3});
        assertThrows(IOException.class, suspensions::refresh);
        assertTrue(suspensions.isSuspended("s-1"));
        suspensions.setSuspended("s-1", true);
        assertTrue(reopened().isSuspended("s-1"));
    }

    @Test
    void atomicFileIsReadCompletelyOrNotAtAll() throws IOException {
        Path path = dir.resolve("some");
        AtomicFile file = new AtomicFile(path, "kind 1");
        assertNull(file.read());
        file.write(new byte[] {5, 6});
        assertArrayEquals(new byte[] {5, 6}, file.read());
        assertThrows(IOException.class, () -> new AtomicFile(path, "kind 2").read());
        byte[] content = Files.readAllBytes(path);
        for (int length = 0; length < content.length; length++) {
            Files.write(path, java.util.Arrays.copyOf(content, length));
            assertThrows(IOException.class, file::read);
        }
    }

    @Test
    void twoTogetherNeverHaveMoreDescriptorsThanTheLimit() throws IOException {
        Path path = dir.resolve("slots");
        for (int used : new int[] {10, 150, 200, 300, 390}) {
            ProcessSlots predecessor = ProcessSlots.claim(path.resolveSibling("slots" + used), 400);
            predecessor.setPhase(ProcessSlots.Phase.READY);
            assertEquals(400, predecessor.updateDescriptorBudget(used));
            ProcessSlots successor = ProcessSlots.claim(path.resolveSibling("slots" + used), 400);
            int initialBudget = successor.updateDescriptorBudget(10);
            assertTrue(initialBudget <= 100, "before the old process noticed it: " + initialBudget);
            int retained = predecessor.updateDescriptorBudget(used);
            assertTrue(
                    retained + successor.updateDescriptorBudget(10) <= 400,
                    used + " keeps " + retained);
            assertTrue(retained >= 200);
            successor.setPhase(ProcessSlots.Phase.READY);
            assertTrue(predecessor.isOtherProcessReady());
            assertTrue(predecessor.updateDescriptorBudget(used / 2) <= retained);
            predecessor.setPhase(ProcessSlots.Phase.LEAVING);
            assertTrue(
                    predecessor.updateDescriptorBudget(used / 3)
                                    + successor.updateDescriptorBudget(10)
                            <= 400);
            assertThrows(
                    IOException.class,
                    () -> ProcessSlots.claim(path.resolveSibling("slots" + used), 400));
        }
    }
}
