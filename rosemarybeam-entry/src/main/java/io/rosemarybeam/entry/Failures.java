package io.rosemarybeam.entry;

import java.util.concurrent.CompletionException;

import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RosemarybeamException;

/** Looks into the failures of futures. Stateless and safe for use by several threads. */
final class Failures {
    private Failures() {}

    /**
     * Returns the failure that a future wrapped.
     *
     * @param failure as given to a callback; may be null
     * @return the failure itself
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
