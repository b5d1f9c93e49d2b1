package io.rosemarybeam.store;

import java.util.function.Consumer;

/** Sends calls to the provider. Called on the thread of the log driver. */
@FunctionalInterface
interface ProviderSender {
    /**
     * Sends a call.
     *
     * @param call the call
     * @param onReply called exactly once, on the thread of the log driver
     */
    void send(ProviderCall call, Consumer<ProviderReply> onReply);
}
