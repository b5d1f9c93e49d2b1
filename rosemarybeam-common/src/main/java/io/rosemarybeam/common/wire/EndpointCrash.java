package io.rosemarybeam.common.wire;

import java.util.Objects;

import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.Fingerprint;

/**
 * The crash, or suspected crash, of an endpoint while it ran a request. Immutable and safe for use by several threads.
 *
 * @param fingerprint the request
 * @param endpoint the endpoint that crashed
 * @param startedMilliseconds start time of the endpoint by its own clock; with its id it identifies the incarnation
 * @param ageMilliseconds time since the crash when the message was sent, so that hosts need no common clock
 * @param cleared whether the crash no longer counts; all that an earlier release reads of the state
 * @param state what is known of the crash; derived from {@code cleared} if an older sender omits it
 */
public record EndpointCrash(
        Fingerprint fingerprint,
        EndpointId endpoint,
        long startedMilliseconds,
        long ageMilliseconds,
        boolean cleared,
        State state) {
    /** What is known of a crash. It only ever changes to a later one of these states. */
    public enum State {
        /** The attempt ended without an answer, and nothing shows whether the endpoint still runs. */
        SUSPECTED,
        /** The endpoint was suspected, but has sent a heartbeat since. */
        DISPROVED,
        /** The endpoint no longer listened at its port. */
        CONFIRMED,
        /** The request was answered in full later, so the crash had another cause. */
        CLEARED;

        /** Returns whether a crash in this state counts towards the quarantine of its request. */
        public boolean counts() {
            return this == SUSPECTED || this == CONFIRMED;
        }
    }

    public EndpointCrash {
        Objects.requireNonNull(fingerprint, "fingerprint");
        Objects.requireNonNull(endpoint, "endpoint");
        state = state != null ? state : cleared ? State.CLEARED : State.CONFIRMED;
    }

    public static EndpointCrash of(
            Fingerprint fingerprint, EndpointId endpoint, long startedMilliseconds, long ageMilliseconds, State state) {
        return new EndpointCrash(fingerprint, endpoint, startedMilliseconds, ageMilliseconds, !state.counts(), state);
    }
}
