package saltstage.admin;

import java.util.concurrent.CompletionStage;

/** What operators may ask. Nothing here may block: who calls it answers all operators. */
public interface OperatorService {
    /** Null where this process serves, else why it does not. */
    String notReadyReason();

    /** The figures, each line with its end. */
    String metrics();

    /**
     * Nothing more to this backend; null, or why not, once that holds and will outlive this
     * process.
     */
    CompletionStage<String> suspend(String id);

    /** Uses that backend again; null, or why not. */
    CompletionStage<String> restore(String id);
}
