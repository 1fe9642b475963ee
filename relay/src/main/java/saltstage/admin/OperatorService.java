package saltstage.admin;

import java.util.concurrent.CompletionStage;

/**
 * The operations behind operator calls. No method may block, because one thread answers all
 * operators.
 */
public interface OperatorService {
    /** Returns null if this process serves clients, otherwise the reason why it does not. */
    String notReadyReason();

    /** Returns the metrics as text, each line with its line end. */
    String metrics();

    /**
     * Stops sending requests to this backend. The stage completes with null once the suspension is
     * in force and durable, or with the reason why the call was rejected.
     */
    CompletionStage<String> suspend(String id);

    /** Uses the backend again; completes with null, or with the reason for a rejection. */
    CompletionStage<String> restore(String id);
}
