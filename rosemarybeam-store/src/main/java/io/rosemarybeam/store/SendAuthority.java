package io.rosemarybeam.store;

import java.util.Optional;
import java.util.function.LongSupplier;

import io.rosemarybeam.platform.SendCondition;

/**
 * The rule under which a leader may send work to endpoints: items, score requests, and orders to load weights.
 *
 * <p>Work may be sent only while this host leads in the term for which the work was made, a majority has confirmed that recently,
 * the submission is open in the applied state, and the item is not finished otherwise. The rule is asked when a request is
 * written, because a leader that was stalled plans work before it reads that another host leads and has acknowledged the end of a
 * submission.
 *
 * <p>Invariant: an authority belongs to one term; once it has ended it never allows anything again. Confined to the thread of the
 * log driver.
 */
final class SendAuthority {
    /**
     * Maximum age of the last word of a majority, in milliseconds: the minimum election timeout, of which the first of the 10
     * ticks of 50 ms may come at once. Followers do not vote for another leader within that time after they have heard of this
     * one, unless they restart or the leadership was handed over; work is then late by this time at most.
     */
    static final long MAXIMUM_AGE_MILLISECONDS = 450;

    private final long term;
    private final LongSupplier majorityAge;
    private final StoreState state;
    private boolean ended;

    /** Why work must not be sent. */
    enum Refusal {
        /** This host does not lead any more in the term of the work. */
        LEADERSHIP_ENDED(false),
        /** No majority has confirmed recently that this host leads; its next heartbeat may show it. */
        MAJORITY_SILENT(true),
        /** The submission was ended, or is not stored any more. */
        SUBMISSION_CLOSED(false),
        /** The item was cancelled, or its result is listed. */
        ITEM_CLOSED(false);

        private final boolean temporary;

        Refusal(boolean temporary) {
            this.temporary = temporary;
        }

        /** Returns whether the same work may be allowed later. */
        boolean isTemporary() {
            return temporary;
        }
    }

    /**
     * Creates the authority of a new leader.
     *
     * @param term the term in which this host leads
     * @param majorityAge age of the last word of a majority in milliseconds; {@link Long#MAX_VALUE} if this host does not lead
     * @param state the applied state
     */
    SendAuthority(long term, LongSupplier majorityAge, StoreState state) {
        this.term = term;
        this.majorityAge = majorityAge;
        this.state = state;
    }

    /** Ends the authority, because this host does not lead any more. */
    void end() {
        ended = true;
    }

    /** Returns the term for which work is sent. */
    long term() {
        return term;
    }

    /** Returns the age of the last word of a majority, in milliseconds. */
    long majorityAge() {
        return majorityAge.getAsLong();
    }

    /** Returns why nothing may be sent now; empty if work of open submissions may be sent. */
    Optional<Refusal> refusal() {
        if (ended) {
            return Optional.of(Refusal.LEADERSHIP_ENDED);
        }
        return majorityAge() > MAXIMUM_AGE_MILLISECONDS ? Optional.of(Refusal.MAJORITY_SILENT) : Optional.empty();
    }

    /** Returns why nothing may be sent for an item now; empty if it may be sent. */
    Optional<Refusal> refusal(ItemTask task) {
        if (ended) {
            return Optional.of(Refusal.LEADERSHIP_ENDED);
        }
        // The state is asked by id, because an installed snapshot replaces its objects.
        boolean isOpen = state.submission(task.submission.submission().id())
                .filter(stored -> !stored.isEnded())
                .isPresent();
        if (!isOpen) {
            return Optional.of(Refusal.SUBMISSION_CLOSED);
        }
        return task.isClosed() ? Optional.of(Refusal.ITEM_CLOSED) : refusal();
    }

    /** Returns the condition for requests that belong to no submission. */
    SendCondition condition() {
        return () -> refusal().map(this::describe);
    }

    /** Returns the condition for requests that belong to an item. */
    SendCondition condition(ItemTask task) {
        return () -> refusal(task).map(this::describe);
    }

    private String describe(Refusal refusal) {
        return refusal + " in term " + term + ", last word of a majority " + majorityAge() + " ms ago";
    }
}
