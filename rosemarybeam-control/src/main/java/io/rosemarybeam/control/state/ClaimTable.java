package io.rosemarybeam.control.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.IdempotencyKey;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.wire.ControlReply.ClaimReply;
import io.rosemarybeam.common.wire.ControlReply.ClaimState;
import io.rosemarybeam.common.wire.EntryRequest.ClaimRequest;
import io.rosemarybeam.common.wire.EntryRequest.RecordOutcome;
import io.rosemarybeam.common.wire.RequestOutcome;

/**
 * The claims of non-idempotent requests.
 *
 * <p>A claim is resolved once its outcome is recorded or unknown. Invariants: at most one entry incarnation is granted
 * a claim until it returns the claim without having run the request; a claim whose window has passed without an outcome
 * is unknown and is not granted again while it is stored. Confined to the thread of the state machine.
 */
public final class ClaimTable {
    /** Maximum number of stored claims. */
    public static final int MAXIMUM_CLAIMS = 200_000;

    /** Time for which a resolved claim is stored, in milliseconds; also the maximum of each window of a claim. */
    public static final long RESOLVED_RETENTION_MILLISECONDS = 24L * 60 * 60 * 1_000;

    /**
     * Maximum size of all stored bodies of outcomes, in bytes. Bodies beyond it are recorded as truncated until others
     * expire.
     */
    public static final long MAXIMUM_OUTCOME_BYTES = 8L * 1024 * 1024;

    /** Margin for clocks that run at slightly different rates, in milliseconds. */
    private static final long CLOCK_DRIFT_MARGIN_MILLISECONDS = 500;

    private static final byte[] NO_BODY = {};

    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final ExpiryQueue<Key> expiries = new ExpiryQueue<>();
    private long outcomeBytes;

    /** Grants a claim, or reports the state of the claim that is stored under the key. */
    ClaimReply claim(ClaimRequest request, long now) {
        checkWindow(request.dispatchWindowMilliseconds());
        checkWindow(request.runWindowMilliseconds());
        Objects.requireNonNull(request.fingerprint(), "fingerprint");
        Objects.requireNonNull(request.entry(), "entry");
        Key key = new Key(request.service(), request.key());
        Claim existing = claims.get(key);
        if (existing == null) {
            if (claims.size() >= MAXIMUM_CLAIMS) {
                throw new ControlException(
                        ErrorCode.TABLE_FULL, MAXIMUM_CLAIMS + " claims are stored, which is the maximum");
            }
            put(key, granted(request, now));
            return new ClaimReply(ClaimState.GRANTED, Optional.empty());
        }
        if (!existing.fingerprint.equals(request.fingerprint())) {
            return new ClaimReply(ClaimState.KEY_REUSED, Optional.empty());
        }
        if (existing.outcome.isPresent()) {
            return new ClaimReply(ClaimState.COMPLETED, existing.outcome);
        }
        if (existing.outcomeUnknown) {
            return new ClaimReply(ClaimState.UNKNOWN, Optional.empty());
        }
        if (isResend(existing, request)) {
            put(key, granted(request, now));
            return new ClaimReply(ClaimState.GRANTED, Optional.empty());
        }
        return new ClaimReply(ClaimState.IN_PROGRESS, Optional.empty());
    }

    private static void checkWindow(long milliseconds) {
        if (milliseconds < 0 || milliseconds > RESOLVED_RETENTION_MILLISECONDS) {
            throw new ControlException(
                    ErrorCode.REQUEST_INVALID,
                    "claim window of " + milliseconds + " ms, expected 0 to " + RESOLVED_RETENTION_MILLISECONDS);
        }
    }

    private static boolean isResend(Claim existing, ClaimRequest request) {
        return !request.attempt().isEmpty()
                && request.attempt().equals(existing.attempt)
                && existing.isHeldBy(request.entry(), request.entryIncarnation());
    }

    private static Claim granted(ClaimRequest request, long now) {
        long deadline = now
                + request.dispatchWindowMilliseconds()
                + request.runWindowMilliseconds()
                + CLOCK_DRIFT_MARGIN_MILLISECONDS;
        return new Claim(
                request.fingerprint(),
                request.entry(),
                request.entryIncarnation(),
                request.attempt(),
                deadline,
                false,
                Optional.empty());
    }

    /**
     * Records the outcome of a claim; a request without an outcome returns the claim. Returns false if the entry holds
     * no such claim.
     */
    boolean recordOutcome(RecordOutcome request, long now) {
        Key key = new Key(request.service(), request.key());
        Claim existing = claims.get(key);
        if (existing == null || !existing.isHeldBy(request.entry(), request.entryIncarnation())) {
            return false;
        }
        if (existing.outcome.isPresent()) {
            return true;
        }
        if (request.outcome().isEmpty()) {
            // A return that arrives late a second time must not release a newer claim of the same key.
            boolean matches = request.attempt().isEmpty() || request.attempt().equals(existing.attempt);
            if (matches) {
                claims.remove(key);
            }
            return matches;
        }
        RequestOutcome outcome = withinLimits(request.outcome().get());
        outcomeBytes += outcome.body().length;
        put(key, existing.resolved(now + RESOLVED_RETENTION_MILLISECONDS, false, Optional.of(outcome)));
        return true;
    }

    /**
     * Marks the unresolved claims of an entry host as unknown, so that callers that resend need not wait until the
     * claims expire. An outcome that the entry records later is still accepted.
     */
    void markUnknown(HostName entry, long incarnation, long now) {
        for (Map.Entry<Key, Claim> row : List.copyOf(claims.entrySet())) {
            Claim claim = row.getValue();
            if (claim.isHeldBy(entry, incarnation) && claim.outcome.isEmpty() && !claim.outcomeUnknown) {
                put(row.getKey(), claim.resolved(now + RESOLVED_RETENTION_MILLISECONDS, true, Optional.empty()));
            }
        }
    }

    private RequestOutcome withinLimits(RequestOutcome outcome) {
        boolean fits = outcome.body().length <= RequestOutcome.MAXIMUM_BODY_BYTES
                && outcomeBytes + outcome.body().length <= MAXIMUM_OUTCOME_BYTES;
        return fits ? outcome : new RequestOutcome(outcome.status(), outcome.headers(), NO_BODY, true);
    }

    private void put(Key key, Claim claim) {
        claims.put(key, claim);
        expiries.add(claim.deadline, key);
    }

    /**
     * Marks unresolved claims whose window has passed as unknown, and removes resolved claims after their retention.
     */
    void expire(long now) {
        for (Key key : expiries.pollExpired(now)) {
            Claim claim = claims.get(key);
            if (claim == null || claim.deadline > now) {
                continue;
            }
            if (claim.outcome.isEmpty() && !claim.outcomeUnknown) {
                put(key, claim.resolved(now + RESOLVED_RETENTION_MILLISECONDS, true, Optional.empty()));
            } else {
                claims.remove(key);
                outcomeBytes -=
                        claim.outcome.map(outcome -> outcome.body().length).orElse(0);
            }
        }
    }

    /**
     * Returns a time before which no claim expires.
     *
     * @return the leader time, in milliseconds, or {@link Long#MAX_VALUE} if there is no claim
     */
    public long nextExpiry() {
        return expiries.nextExpiry();
    }

    public int size() {
        return claims.size();
    }

    SnapshotData snapshotData() {
        return new SnapshotData(claims.entrySet().stream()
                .map(entry -> new Row(entry.getKey(), entry.getValue()))
                .toList());
    }

    void restore(SnapshotData data) {
        claims.clear();
        expiries.clear();
        outcomeBytes = 0;
        for (Row row : data.rows) {
            put(row.key, row.claim);
            outcomeBytes +=
                    row.claim.outcome.map(outcome -> outcome.body().length).orElse(0);
        }
    }

    /** Identifies a claim. Immutable. */
    record Key(ServiceName service, IdempotencyKey key) {
        /** Checks that both components are present. */
        Key {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(key, "key");
        }
    }

    /** State of a claim; at the deadline it becomes unknown or is removed. Immutable. */
    record Claim(
            Fingerprint fingerprint,
            HostName entry,
            long incarnation,
            String attempt,
            long deadline,
            boolean outcomeUnknown,
            Optional<RequestOutcome> outcome) {
        boolean isHeldBy(HostName requester, long requesterIncarnation) {
            return entry.equals(requester) && incarnation == requesterIncarnation;
        }

        Claim resolved(long newDeadline, boolean newOutcomeUnknown, Optional<RequestOutcome> recordedOutcome) {
            return new Claim(fingerprint, entry, incarnation, attempt, newDeadline, newOutcomeUnknown, recordedOutcome);
        }
    }

    /** A claim in a snapshot. Immutable. */
    record Row(Key key, Claim claim) {}

    /** The contents of the table in a snapshot. Immutable. */
    record SnapshotData(List<Row> rows) {}
}
