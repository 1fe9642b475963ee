package saltstage.lifecycle;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Try;
import saltstage.stage.Chain;

/**
 * The end after SIGTERM. SIGKILL comes 3.7 s later at the earliest: new clients are taken as before, the
 * standing ones are moved a few at a time until 2.6 s, what still waits is rejected at 3 s, and all is over
 * at 3.5 s.
 */
final class Drain {
    private static final Duration MOVES_FROM = Duration.ofMillis(200);
    private static final Duration MOVES_UNTIL = Duration.ofMillis(2_600);
    private static final Duration REJECT_AT = Duration.ofMillis(3_000);
    private static final Duration OVER = Duration.ofMillis(3_500);
    /** New clients come for up to 0.4 s more; the front then sends them elsewhere. */
    private static final Duration AT_LEAST = Duration.ofMillis(900);
    private static final Duration STEP = Duration.ofMillis(50);

    private final MonotonicClock clock;
    private final Chain chain;
    private final Instant start;

    Drain(MonotonicClock clock, Chain chain) {
        this.clock = clock;
        this.chain = chain;
        start = clock.now();
    }

    void run() {
        Log.info("drain.start", "standing", chain.relay().standing().size(),
            "clients", chain.takeIn().clients());
        chain.takeIn().leave();
        try {
            boolean rejected = false;
            while (since().compareTo(OVER) < 0 && !done()) {
                moveSome();
                if (!rejected && since().compareTo(REJECT_AT) >= 0) {
                    chain.rejectWaiting();
                    rejected = true;
                }
                Thread.sleep(STEP.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Log.info("drain.over", "standing", chain.relay().standing().size(),
            "clients", chain.takeIn().clients(), "after_ms", since().toMillis());
    }

    private Duration since() {
        return Duration.between(start, clock.now());
    }

    private boolean done() {
        return since().compareTo(AT_LEAST) > 0 && chain.takeIn().requests() == 0;
    }

    /** As many of those that stand as the steps that are left ask for, so that the others are not flooded. */
    private void moveSome() {
        long left = MOVES_UNTIL.minus(since()).toMillis();
        if (since().compareTo(MOVES_FROM) < 0) {
            return;
        }
        List<Try> standing = List.copyOf(chain.relay().standing());
        long steps = Math.max(1, left / STEP.toMillis());
        long due = (standing.size() + steps - 1) / steps;
        for (Try up : standing) {
            if (due <= 0) {
                break;
            }
            due -= chain.relay().move(up, "relay leaves") ? 1 : 0;
        }
    }
}
