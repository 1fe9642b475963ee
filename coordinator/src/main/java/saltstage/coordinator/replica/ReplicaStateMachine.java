package saltstage.coordinator.replica;

import io.microraft.statemachine.StateMachine;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.model.Reply;

/**
 * Applies committed log entries to the group's state, on the engine's thread. An entry that this
 * build cannot read or apply ends the process: the engine would only fail that one command, and
 * this replica would continue with a state that differs from the group's.
 */
final class ReplicaStateMachine implements StateMachine {
    private static final int SNAPSHOT_CHUNK_BYTES = 256 << 10;

    /** A read of the state; never part of the log. */
    record Query(Function<GroupState, Object> function) {}

    private final Replica.FatalErrorHandler fatalErrorHandler;
    private final Runnable changeListener;
    private volatile GroupState state = new GroupState();

    ReplicaStateMachine(Replica.FatalErrorHandler fatalErrorHandler, Runnable changeListener) {
        this.fatalErrorHandler = fatalErrorHandler;
        this.changeListener = changeListener;
    }

    GroupState state() {
        return state;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation instanceof Query query) {
            return query.function().apply(state);
        }
        if (!(operation instanceof byte[] entry)) {
            return null; // the operation that starts a term
        }
        Reply reply;
        try {
            reply = state.apply(GroupCodec.decodeProposal(entry));
        } catch (IOException | RuntimeException failure) {
            fatalErrorHandler.exit(
                    78,
                    "entry "
                            + index
                            + " of the log cannot be carried out by this build: "
                            + failure.getMessage());
            throw new IllegalStateException(failure);
        }
        changeListener.run();
        return reply;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        byte[] bytes = GroupCodec.encodeSnapshot(state.image());
        for (int offset = 0; offset < bytes.length; offset += SNAPSHOT_CHUNK_BYTES) {
            chunks.accept(
                    Arrays.copyOfRange(
                            bytes, offset, Math.min(bytes.length, offset + SNAPSHOT_CHUNK_BYTES)));
        }
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        chunks.forEach(chunk -> bytes.writeBytes((byte[]) chunk));
        try {
            state = new GroupState(GroupCodec.decodeSnapshot(bytes.toByteArray()));
        } catch (IOException | RuntimeException failure) {
            fatalErrorHandler.exit(
                    78,
                    "the snapshot at "
                            + index
                            + " cannot be read by this build: "
                            + failure.getMessage());
            throw new IllegalStateException(failure);
        }
        changeListener.run();
    }

    @Override
    public Object getNewTermOperation() {
        return NewTermOperation.INSTANCE;
    }
}
