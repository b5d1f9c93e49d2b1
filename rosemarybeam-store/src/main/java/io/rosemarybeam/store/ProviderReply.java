package io.rosemarybeam.store;

/** The outcome of a call to the provider. Immutable and safe for use by several threads. */
sealed interface ProviderReply {
    /** The provider accepted the call. */
    record Accepted() implements ProviderReply {}

    /**
     * The provider refused the call.
     *
     * @param status the status code of its answer
     */
    record Refused(int status) implements ProviderReply {}

    /** The provider takes no further calls at the moment. */
    record Busy() implements ProviderReply {}

    /** The call was sent, and no answer arrived; it may be carried out later. */
    record Unanswered() implements ProviderReply {}

    /** The call was not sent. */
    record Withheld() implements ProviderReply {}
}
