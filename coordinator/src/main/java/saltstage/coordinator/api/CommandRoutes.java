package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.lease.LeaseCommands;
import saltstage.coordinator.lease.LeaseReplies;
import saltstage.coordinator.lease.Leases;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.replica.Replica;

/** Executes commands of clients, each numbered within its client's session. */
final class CommandRoutes {
    private static final int MAX_CLIENT_ID_LENGTH = 100;

    private final Replica replica;
    private final StateChanges changes;

    CommandRoutes(Replica replica, StateChanges changes) {
        this.replica = replica;
        this.changes = changes;
    }

    Map<String, Route> routes() {
        return Map.of("POST /v1/do", this::execute);
    }

    private CompletableFuture<ApiResponse> execute(ApiRequest request) {
        JsonNode body = request.body();
        String client = ApiRequest.requiredString(body, "client");
        long seq = sequenceNumber(body, client);
        Command command = parseCommand(body);
        long waitMs = Math.min(StateChanges.MAX_WAIT_MS, body.path("waitMs").asLong(0));
        CompletableFuture<Reply> reply = replica.propose(client, seq, command);
        if (command instanceof LeaseCommands.Acquire acquire && waitMs > 0) {
            reply = reply.thenCompose(first -> awaitTurnIfQueued(acquire, first, waitMs));
        }
        return reply.thenApply(ApiResponse::ok);
    }

    private static long sequenceNumber(JsonNode body, String client) {
        JsonNode seq = body.get("seq");
        if (client.length() > MAX_CLIENT_ID_LENGTH
                || seq == null
                || !seq.isIntegralNumber()
                || seq.longValue() < 1) {
            throw new BadRequestException(
                    "'client' takes a text of up to "
                            + MAX_CLIENT_ID_LENGTH
                            + " characters, 'seq' a number from 1 on");
        }
        return seq.longValue();
    }

    private static Command parseCommand(JsonNode body) {
        Command command;
        try {
            command = GroupCodec.decodeCommand(body.path("command"));
        } catch (JsonProcessingException malformed) {
            throw new BadRequestException("'command': " + ApiRequest.firstErrorLine(malformed));
        }
        if (command == null || command.getClass().getName().contains("GroupCommands")) {
            throw new BadRequestException("'command' takes a command for clients");
        }
        return command;
    }

    private CompletableFuture<Reply> awaitTurnIfQueued(
            LeaseCommands.Acquire acquire, Reply first, long waitMs) {
        return first instanceof LeaseReplies.Held held && held.queued()
                ? awaitTurn(acquire, held, StateChanges.deadlineNanos(waitMs))
                : CompletableFuture.completedFuture(first);
    }

    /** Delays the reply until a repeated command may get a different one, or until the deadline. */
    private CompletableFuture<Reply> awaitTurn(
            LeaseCommands.Acquire acquire, Reply held, long deadlineNanos) {
        return changes.awaitNext(deadlineNanos)
                .thenCompose(changed -> changed ? canBeGranted(acquire) : completed(true))
                .thenCompose(
                        done ->
                                done
                                        ? CompletableFuture.completedFuture(held)
                                        : awaitTurn(acquire, held, deadlineNanos));
    }

    private CompletableFuture<Boolean> canBeGranted(LeaseCommands.Acquire acquire) {
        return replica.read(
                state -> canBeGranted(state.leases().find(acquire.name()), acquire.owner()), true);
    }

    private static boolean canBeGranted(Leases.Row row, String owner) {
        return row == null || row.owner() == null && owner.equals(row.claimant());
    }

    private static CompletableFuture<Boolean> completed(boolean value) {
        return CompletableFuture.completedFuture(value);
    }
}
