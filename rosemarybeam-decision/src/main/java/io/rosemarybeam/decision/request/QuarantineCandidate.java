package io.rosemarybeam.decision.request;

/**
 * The crash history of a request that may crash endpoints.
 *
 * <p>Confined to the thread of the core.
 */
final class QuarantineCandidate {
    /** Crashes within this window may have a common cause. */
    private static final long COMMON_CAUSE_WINDOW_MILLISECONDS = 200;

    /** Crashes of endpoints that were running the request. */
    int crashes;

    boolean quarantined;

    /**
     * Whether the control process published the request as a candidate, so that it stays one without a crash seen here.
     */
    boolean publishedByControl;

    /** Whether the wait for the control process to publish the quarantine to every entry has timed out. */
    boolean agreementWaitEnded;

    long lastSeen;
    private long lastCrashAt;

    /**
     * Counts a crash, unless it may have the same cause as the last one: copies of a request that run at the same time
     * may all be lost to one failure of a rack or a link. A further crash therefore counts only if the attempt started
     * after the last one, or if the window for a common cause has passed.
     *
     * @return whether the crash was counted
     */
    boolean countCrash(long attemptStartedAt, long now) {
        if (crashes > 0 && attemptStartedAt <= lastCrashAt && now - lastCrashAt < COMMON_CAUSE_WINDOW_MILLISECONDS) {
            return false;
        }
        crashes++;
        lastCrashAt = now;
        return true;
    }
}
