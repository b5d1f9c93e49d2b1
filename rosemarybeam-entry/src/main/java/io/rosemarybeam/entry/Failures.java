package io.rosemarybeam.entry;

import java.util.concurrent.CompletionException;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;

/** Unwraps the failures of futures. Stateless and safe for use by several threads. */
final class Failures {
    private Failures() {}

    /**
     * Returns the cause of a {@link CompletionException}, and any other failure itself.
     *
     * @param failure as given to a callback; may be null
     * @return the unwrapped failure
     */
    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /**
     * Returns the code of a failure.
     *
     * @param failure as given to a callback
     * @return its code, or {@link ErrorCode#INTERNAL} if it has none
     */
    static ErrorCode code(Throwable failure) {
        return unwrap(failure) instanceof RosemarybeamException known ? known.code() : ErrorCode.INTERNAL;
    }
}
