package io.rosemarybeam.decision.request;

/** How often a request ran on an endpoint that crashed. Confined to the thread of the core. */
final class QuarantineCandidate {
    private static final long COMMON_CAUSE_WINDOW_MILLISECONDS = 200;

    int crashes;
    boolean quarantined;

    /** Whether the control process named the request, so that it stays a suspect without a crash seen here. */
    boolean publishedByControl;

    /** Whether the control process confirmed the quarantine, so that every other entry knows it too. */
    boolean agreementWaitEnded;

    long lastSeen;
    private long lastCrashAt;

    /**
     * Counts a crash. Copies of a request that run at the same time may all be lost to one failure of a rack or a link,
     * so a crash counts anew only for a run that began after the last one, or some time later.
     *
     * @return whether it counts
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
