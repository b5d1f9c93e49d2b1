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
 * <p>Invariants: at most one entry incarnation is granted a claim until it gives the claim back unrun; a claim whose
 * window has passed is unknown for ever and never granted again. Confined to the thread of the state machine.
 */
public final class ClaimTable {
    /** How many claims are kept. */
    public static final int MAXIMUM_CLAIMS = 200_000;

    /** How long a settled claim is kept, in milliseconds. */
    public static final long RESOLVED_RETENTION_MILLISECONDS = 24L * 60 * 60 * 1_000;

    /** Bodies of recorded outcomes kept, in bytes; later bodies are recorded as truncated until others expire. */
    public static final long MAXIMUM_OUTCOME_BYTES = 8L * 1024 * 1024;

    /** Allowance for clocks that run at slightly different speeds, in milliseconds. */
    private static final long CLOCK_DRIFT_MARGIN_MILLISECONDS = 500;

    private static final byte[] NO_BODY = {};

    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final ExpiryQueue<Key> expiries = new ExpiryQueue<>();
    private long outcomeBytes;

    ClaimReply claim(ClaimRequest request, long now) {
        checkWindow(request.dispatchWindowMilliseconds());
        checkWindow(request.runWindowMilliseconds());
        Objects.requireNonNull(request.fingerprint(), "fingerprint");
        Objects.requireNonNull(request.entry(), "entry");
        Key key = new Key(request.service(), request.key());
        Claim known = claims.get(key);
        if (known == null) {
            if (claims.size() >= MAXIMUM_CLAIMS) {
                throw new ControlException(ErrorCode.TABLE_FULL, MAXIMUM_CLAIMS + " claims are kept");
            }
            put(key, granted(request, now));
            return new ClaimReply(ClaimState.GRANTED, Optional.empty());
        }
        if (!known.fingerprint.equals(request.fingerprint())) {
            return new ClaimReply(ClaimState.KEY_REUSED, Optional.empty());
        }
        if (known.outcome.isPresent()) {
            return new ClaimReply(ClaimState.COMPLETED, known.outcome);
        }
        if (known.unknown) {
            return new ClaimReply(ClaimState.UNKNOWN, Optional.empty());
        }
        if (isResend(known, request)) {
            put(key, granted(request, now));
            return new ClaimReply(ClaimState.GRANTED, Optional.empty());
        }
        return new ClaimReply(ClaimState.IN_PROGRESS, Optional.empty());
    }

    private static void checkWindow(long milliseconds) {
        if (milliseconds < 0 || milliseconds > RESOLVED_RETENTION_MILLISECONDS) {
            throw new ControlException(ErrorCode.REQUEST_INVALID, "a window of " + milliseconds + " ms");
        }
    }

    private static boolean isResend(Claim known, ClaimRequest request) {
        return !request.attempt().isEmpty()
                && request.attempt().equals(known.attempt)
                && known.isHeldBy(request.entry(), request.entryIncarnation());
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

    /** Returns whether the outcome belongs to a known claim of the entry. */
    boolean recordOutcome(RecordOutcome request, long now) {
        Key key = new Key(request.service(), request.key());
        Claim known = claims.get(key);
        if (known == null || !known.isHeldBy(request.entry(), request.entryIncarnation())) {
            return false;
        }
        if (known.outcome.isPresent()) {
            return true;
        }
        if (request.outcome().isEmpty()) {
            // A late copy of a return must not free a newer claim of the same key.
            boolean matches = request.attempt().isEmpty() || request.attempt().equals(known.attempt);
            if (matches) {
                claims.remove(key);
            }
            return matches;
        }
        RequestOutcome outcome = withinLimits(request.outcome().get());
        outcomeBytes += outcome.body().length;
        put(key, known.resolved(now + RESOLVED_RETENTION_MILLISECONDS, false, Optional.of(outcome)));
        return true;
    }

    /**
     * Marks the unfinished claims of an entry host as unknown, so that callers that resend need not wait until the claims
     * expire. An outcome that the entry records later is still taken.
     */
    void markUnknown(HostName entry, long incarnation, long now) {
        for (Map.Entry<Key, Claim> line : List.copyOf(claims.entrySet())) {
            Claim claim = line.getValue();
            if (claim.isHeldBy(entry, incarnation) && claim.outcome.isEmpty() && !claim.unknown) {
                put(line.getKey(), claim.resolved(now + RESOLVED_RETENTION_MILLISECONDS, true, Optional.empty()));
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

    void expire(long now) {
        for (Key key : expiries.pollExpired(now)) {
            Claim claim = claims.get(key);
            if (claim == null || claim.deadline > now) {
                continue;
            }
            if (claim.outcome.isEmpty() && !claim.unknown) {
                put(key, claim.resolved(now + RESOLVED_RETENTION_MILLISECONDS, true, Optional.empty()));
            } else {
                claims.remove(key);
                outcomeBytes -=
                        claim.outcome.map(outcome -> outcome.body().length).orElse(0);
            }
        }
    }

    /**
     * Returns when the next claim changes by time.
     *
     * @return the time, in milliseconds, or {@link Long#MAX_VALUE}
     */
    public long nextExpiry() {
        return expiries.nextExpiry();
    }

    /**
     * Returns how many claims are kept.
     *
     * @return the number
     */
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

    /** Names a claim. Immutable. */
    record Key(ServiceName service, IdempotencyKey key) {
        /** Checks that both components are present. */
        Key {
            Objects.requireNonNull(service, "service");
            Objects.requireNonNull(key, "key");
        }
    }

    /** What is known of a claim; the deadline settles or removes it. Immutable. */
    record Claim(
            Fingerprint fingerprint,
            HostName entry,
            long incarnation,
            String attempt,
            long deadline,
            boolean unknown,
            Optional<RequestOutcome> outcome) {
        boolean isHeldBy(HostName requester, long requesterIncarnation) {
            return entry.equals(requester) && incarnation == requesterIncarnation;
        }

        Claim resolved(long newDeadline, boolean isUnknown, Optional<RequestOutcome> recordedOutcome) {
            return new Claim(fingerprint, entry, incarnation, attempt, newDeadline, isUnknown, recordedOutcome);
        }
    }

    /** A claim in a snapshot. Immutable. */
    record Row(Key key, Claim claim) {}

    /** The content of the table in a snapshot. Immutable. */
    record SnapshotData(List<Row> rows) {}
}
