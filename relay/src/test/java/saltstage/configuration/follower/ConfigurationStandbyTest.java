package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.store.FileDisk;
import saltstage.store.StoreEventListener;

/**
 * Guards against a standby that misses what the writer persists, applies what is not durable, or
 * writes an older revision than the directory or itself has in force.
 */
class ConfigurationStandbyTest {
    private final ScriptedHistory history = new ScriptedHistory(12, "a");
    private final List<String> reported = new ArrayList<>();

    @TempDir Path folder;
    private Path dir;
    private ConfigurationDirectory writer;
    private ConfigurationDirectory follower;
    private ConfigurationStandby standby;
    private boolean failsToApply;

    private final ConfigurationStandby.Listener listener =
            new ConfigurationStandby.Listener() {
                @Override
                public void configurationRead(PersistedConfiguration newer) {
                    reported.add("read " + newer.view().revision());
                    if (failsToApply) {
                        throw new IllegalStateException("not applied");
                    }
                }

                @Override
                public void confirmationRead(PersistedConfiguration inForce) {
                    reported.add("confirmed " + inForce.view().revision());
                }

                @Override
                public void becameWriter(PersistedConfiguration inForce) {
                    reported.add("writer " + inForce.view().revision());
                }

                @Override
                public void pollFailed(String reason) {
                    reported.add("failed");
                }
            };

    @BeforeEach
    void openBoth() throws IOException {
        dir = folder.resolve("state");
        writer = new ConfigurationDirectory(dir, StoreEventListener.NONE);
        write(1, 5);
        follower = new ConfigurationDirectory(dir, StoreEventListener.NONE);
        standby = new ConfigurationStandby(follower, follower.persistedConfiguration(), listener);
    }

    @AfterEach
    void closeBoth() throws IOException {
        writer.close();
        follower.close();
    }

    private void write(long from, long to) throws IOException {
        writer.write(history.changesResponse(from, to).changes());
    }

    private void pollAndExpect(String... events) {
        reported.clear();
        standby.poll();
        assertEquals(List.of(events), reported);
    }

    private long persistedRevision() throws IOException {
        return ConfigurationStore.read(new FileDisk(dir)).view().revision();
    }

    @Test
    void eachDurableRevisionIsReportedOnceUntilTheWriterLeaves() throws IOException {
        pollAndExpect();
        write(6, 7);
        pollAndExpect("read 7");
        pollAndExpect();
        writer.recordConfirmation(java.time.Instant.now().plusSeconds(60));
        pollAndExpect("confirmed 7");
        writer.close();
        pollAndExpect("writer 7");
        pollAndExpect();
        follower.write(history.changesResponse(8, 8).changes());
        assertEquals(8, persistedRevision());
    }

    @Test
    void whatTheWriterPersistedJustBeforeItLeftIsReportedBeforeTheRoleIsTaken() throws IOException {
        write(6, 8);
        writer.close();
        pollAndExpect("read 8", "writer 8");
        assertEquals(8, persistedRevision());
    }

    @Test
    void aFaultWhileTheLastRevisionIsAppliedDoesNotKeepTheRoleFromBeingTaken() throws IOException {
        write(6, 7);
        writer.close();
        failsToApply = true;
        pollAndExpect("read 7", "failed");
        pollAndExpect("writer 7");
        follower.write(history.changesResponse(8, 8).changes());
        assertEquals(8, persistedRevision());
    }

    @Test
    void aDirectoryThatLostTheRevisionInForceIsGivenItAgain() throws IOException {
        write(6, 7);
        pollAndExpect("read 7");
        writer.close();
        try (var files = Files.list(dir)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        standby.poll();
        assertEquals("writer 7", reported.get(reported.size() - 1));
        PersistedConfiguration persisted = ConfigurationStore.read(new FileDisk(dir));
        assertEquals(history.viewAt(7).entries(), persisted.view().entries());
    }

    @Test
    void aCommitThatIsNotAcknowledgedIsNotReported() throws IOException {
        Path acknowledged = dir.resolve("acked");
        byte[] before = Files.readAllBytes(acknowledged);
        write(6, 6);
        byte[] after = Files.readAllBytes(acknowledged);
        overwrite(acknowledged, before);
        pollAndExpect();
        overwrite(acknowledged, after);
        pollAndExpect("read 6");
    }

    /** Writes into the file that the writer has open, instead of replacing it. */
    private static void overwrite(Path file, byte[] content) throws IOException {
        Files.write(file, content);
    }

    @Test
    void anOlderSnapshotDoesNotReplaceANewerRevision() throws IOException {
        assertThrows(IOException.class, () -> writer.replace(history.viewAt(4)));
        assertEquals(5, persistedRevision());
        assertTrue(writer.isWriter());
    }
}
