package saltstage.keep;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import saltstage.Api.LearnedState;
import saltstage.Api.LearnedBackend;
import saltstage.config.OperatorSettings.Keeping;
import saltstage.log.Log;
import saltstage.store.Batch;
import saltstage.store.Disk;
import saltstage.store.FileDisk;
import saltstage.store.Snapshot;
import saltstage.store.Store;
import saltstage.store.StoreException;
import saltstage.store.StoreOptions;
import saltstage.wire.HostList;

/**
 * Keeps the relay's state. What is to be written is handed over and written by one thread, the
 * newest only; nobody who hands over waits. Whatever goes wrong with the store, the relay serves on
 * without it.
 */
public final class Keeper {
    /** How the store stands, as the totals tell it. */
    public enum State {
        OK,
        FULL,
        LOST
    }

    private static final byte[] LIST_REV = History.key("list/rev");
    private static final String TARGET = "list/target/";
    private static final byte[] TARGETS_FROM = History.key(TARGET);
    private static final byte[] TARGETS_TO = History.key("list/target0");
    private static final byte[] LEARNT = History.key("learnt");
    private static final Duration RETRY = Duration.ofSeconds(5);

    private record Accepted(String configuration, String settings, Instant at) {}

    private final Keeping settings;
    private final Supplier<Instant> clock;
    private Store store;
    private State state = State.OK;
    private HostList list;
    private final List<Accepted> accepted = new ArrayList<>();
    private Supplier<LearnedState> learning;
    private byte[] lastLearnt = {};
    private boolean over;
    private Thread thread;

    private Keeper(Keeping settings, Supplier<Instant> clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Opens the store; where that fails, it is told, and what is handed over is dropped. */
    public static Keeper open(Keeping settings, Supplier<Instant> clock) {
        return open(settings, clock, () -> FileDisk.at(settings.dir()));
    }

    /** Where the files are. */
    interface Place {
        Disk find() throws IOException;
    }

    static Keeper open(Keeping settings, Supplier<Instant> clock, Place place) {
        Keeper keeper = new Keeper(settings, clock);
        try {
            keeper.store =
                    Store.open(
                            place.find(),
                            new StoreOptions(
                                    settings.segmentBytes(), true, settings.compactionRate()),
                            Log::warn);
        } catch (IOException | RuntimeException e) {
            keeper.lose(e);
        }
        return keeper;
    }

    private synchronized void lose(Exception why) {
        if (state != State.LOST) {
            state = State.LOST;
            Log.warn("keep.lost", "dir", settings.dir(), "why", why.getMessage());
        }
    }

    /** How the store stands. */
    public synchronized State state() {
        return state;
    }

    // ---- what was kept

    /** The newest list of backends, if one was kept and can be read. */
    public Optional<HostList> keptList() {
        return kept(
                "list",
                now -> {
                    byte[] rev = now.get(LIST_REV);
                    if (rev == null) {
                        return null;
                    }
                    List<HostList.Entry> entries = new ArrayList<>();
                    Snapshot.Scan scan = now.scan(TARGETS_FROM, TARGETS_TO);
                    while (scan.next()) {
                        entries.add(Codec.entry(scan.value()));
                    }
                    return new HostList(Codec.number(rev), true, entries);
                });
    }

    /** What was learnt, unless it is too old; spans are shorter by its age. */
    public Optional<LearnedState> keptLearnt() {
        return kept(
                "learnt",
                now -> {
                    byte[] bytes = now.get(LEARNT);
                    if (bytes == null) {
                        return null;
                    }
                    Codec.Dated dated = Codec.learnt(bytes);
                    Duration age = Duration.between(dated.at(), clock.get());
                    // Of a clock that went back nobody can say how old it is.
                    boolean fresh = !age.isNegative() && age.compareTo(settings.learntFor()) <= 0;
                    Log.info(
                            "keep.learnt",
                            "age_s",
                            age.toSeconds(),
                            "servers",
                            dated.learnt().backends().size(),
                            "taken",
                            fresh);
                    return fresh ? aged(dated.learnt(), age.toNanos() / 1_000) : null;
                });
    }

    private static LearnedState aged(LearnedState learnt, long micros) {
        List<LearnedBackend> servers =
                learnt.backends().stream()
                        .map(
                                s ->
                                        new LearnedBackend(
                                                s.id(),
                                                s.startedAt(),
                                                s.setupLatency(),
                                                s.setupLatencyDeviation(),
                                                s.minSetupLatency(),
                                                s.consecutiveFailures(),
                                                Math.max(0, s.remainingEjection() - micros)))
                        .toList();
        return new LearnedState(
                learnt.setupLatency(),
                learnt.setupLatencyDeviation(),
                learnt.meanRequestLoad(),
                learnt.meanConnectionLifetime(),
                learnt.meanGroupShare(),
                learnt.capacityShare(),
                servers,
                new TreeMap<>(learnt.groupShares()));
    }

    private interface Reading<T> {
        T from(Snapshot now) throws IOException;
    }

    private <T> Optional<T> kept(String what, Reading<T> reading) {
        if (store == null) {
            return Optional.empty();
        }
        try (Snapshot now = store.snapshot()) {
            return Optional.ofNullable(reading.from(now));
        } catch (IOException e) {
            Log.warn("keep.unreadable", "what", what, "why", e.getMessage());
            return Optional.empty();
        }
    }

    // ---- what is to be kept

    /** Begins to write, and to ask for what was learnt at the interval of the settings. */
    public synchronized void start(Supplier<LearnedState> learnt) {
        learning = learnt;
        if (store != null) {
            thread = new Thread(null, this::write, "keep", 256 << 10);
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** The whole list of backends as it is now. */
    public synchronized void listed(HostList now) {
        list = now;
        notifyAll();
    }

    /** A configuration was accepted. */
    public synchronized void accepted(String configuration, String operatorSettings) {
        accepted.add(new Accepted(configuration, operatorSettings, clock.get()));
        notifyAll();
    }

    /** Writes what there is for the last time, as far as that is done within the limit. */
    public void close(Duration limit) {
        Thread writing;
        synchronized (this) {
            over = true;
            writing = thread;
            notifyAll();
        }
        if (writing != null) {
            try {
                writing.join(limit.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void write() {
        try {
            boolean last = false;
            while (!last && state() != State.LOST) {
                last = await();
                round();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException
                | RuntimeException
                | Error e) { // the relay must not be told by its absence
            lose(e instanceof Exception known ? known : new IllegalStateException(e));
        } finally {
            closeStore();
        }
    }

    private void closeStore() {
        try {
            store.close();
        } catch (IOException e) {
            lose(e);
        }
    }

    /** Waits until there is something to write, or the interval is over; true at the end. */
    private synchronized boolean await() throws InterruptedException {
        long until = System.nanoTime() + (state == State.FULL ? RETRY : settings.every()).toNanos();
        while (!over && (state == State.FULL || list == null && accepted.isEmpty())) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        return over;
    }

    /** Writes what has come; a full disk keeps it for the next round. */
    private void round() throws IOException {
        HostList newest;
        List<Accepted> configurations;
        synchronized (this) {
            newest = list;
            configurations = List.copyOf(accepted);
        }
        try {
            if (newest != null) {
                writeList(newest);
            }
            for (Accepted one : configurations) {
                writeAccepted(one);
            }
            writeLearnt();
            done(newest, configurations.size());
        } catch (StoreException.Full full) {
            synchronized (this) {
                state = State.FULL; // the store itself has told
            }
        }
    }

    private synchronized void done(HostList written, int configurations) {
        state = State.OK;
        list = list == written ? null : list;
        accepted.subList(0, configurations).clear();
    }

    /** The list in one batch: what differs from the one that is there, and its number. */
    private void writeList(HostList newest) throws IOException {
        Map<String, byte[]> wanted = new HashMap<>();
        newest.targets().forEach(entry -> wanted.put(TARGET + entry.uid(), Codec.entry(entry)));
        Batch batch = new Batch();
        try (Snapshot now = store.snapshot()) {
            byte[] rev = now.get(LIST_REV);
            if (rev != null && Codec.number(rev) == newest.rev()) {
                return;
            }
            Snapshot.Scan scan = now.scan(TARGETS_FROM, TARGETS_TO);
            while (scan.next()) {
                String key = new String(scan.key(), StandardCharsets.UTF_8);
                byte[] to = wanted.get(key);
                if (to == null) {
                    batch.delete(scan.key());
                } else if (Arrays.equals(to, scan.value())) {
                    wanted.remove(key);
                }
            }
        }
        wanted.forEach((key, value) -> batch.put(History.key(key), value));
        store.commit(batch.put(LIST_REV, Codec.number(newest.rev())));
    }

    private void writeAccepted(Accepted one) throws IOException {
        try {
            long number =
                    History.accept(
                            store,
                            one.configuration(),
                            one.settings(),
                            one.at(),
                            settings.configurations());
            Log.info("keep.configuration", "version", number);
        } catch (IllegalArgumentException tooLarge) {
            Log.warn("keep.unwritten", "what", "configuration", "why", tooLarge.getMessage());
        }
    }

    private void writeLearnt() throws IOException {
        LearnedState now = learning.get();
        byte[] plain = Codec.learnt(new Codec.Dated(Instant.EPOCH, now));
        if (!now.backends().isEmpty() && !Arrays.equals(plain, lastLearnt)) {
            store.put(LEARNT, Codec.learnt(new Codec.Dated(clock.get(), now)));
            lastLearnt = plain;
        }
    }
}
