package io.rosemarybeam.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.ControlReply.PushState;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.common.wire.WireConnection;
import io.rosemarybeam.control.state.ControlState;

/**
 * Pushes changes of the configuration, membership, quarantine and weight versions to connected entry hosts.
 *
 * <p>Invariant: a push contains the changes since the last message on the same connection. An entry that misses one
 * reports its actual versions with its next renewal. Confined to the control executor.
 */
final class EntryNotifier {
    /** Change count of weight versions before anything was sent on a connection; actual counts are not negative. */
    private static final long NOTHING_SENT = -1;

    /**
     * Number of records after which a flush stops. Encoding a large change for all entries at once would block the log
     * long enough to lose leadership.
     */
    private static final int RECORDS_PER_FLUSH = 2_000;

    private final ControlState state;
    private final long term;
    private final Map<WireConnection, SentVersions> sentByConnection = new LinkedHashMap<>();
    private final Map<Long, MembershipDelta> deltas = new HashMap<>();
    private long deltasVersion;

    EntryNotifier(ControlState state, long term) {
        this.state = state;
        this.term = term;
    }

    /** Returns the changes since the versions that an entry reported, and includes its connection in later flushes. */
    EntryState subscribe(
            WireConnection connection, long revision, long membershipVersion, Map<String, Integer> shares) {
        SentVersions sent = sentByConnection.computeIfAbsent(connection, ignored -> new SentVersions());
        sent.revision = revision;
        sent.membershipVersion = membershipVersion;
        return changes(sent, shares);
    }

    void connectionClosed(WireConnection connection) {
        sentByConnection.remove(connection);
    }

    /** Sends pending changes until the maximum number of records is reached; the next flush continues from there. */
    void flush() {
        int records = 0;
        for (WireConnection connection : List.copyOf(sentByConnection.keySet())) {
            SentVersions sent = sentByConnection.get(connection);
            if (!connection.isOpen() || !isOutdated(sent)) {
                continue;
            }
            if (records >= RECORDS_PER_FLUSH) {
                return;
            }
            EntryState changes = changes(sent, Map.of());
            records += 1 + changes.membership().map(EntryNotifier::size).orElse(0);
            connection.send(new PushState(changes));
            // Moved to the end, so that a steady flow of changes does not starve the other connections.
            sentByConnection.remove(connection);
            sentByConnection.put(connection, sent);
        }
    }

    private static int size(MembershipDelta delta) {
        return delta.endpoints().size() + delta.entryHosts().size();
    }

    private boolean isOutdated(SentVersions sent) {
        return sent.revision < state.configurations().newestNumber()
                || sent.membershipVersion < state.membershipVersion()
                || sent.quarantineVersion < state.quarantineVersion()
                || sent.weightChanges != state.weights().changes();
    }

    private EntryState changes(SentVersions sent, Map<String, Integer> shares) {
        Optional<ConfigurationText> configuration =
                state.configurations().newest().filter(newest -> newest.number() > sent.revision);
        boolean newMembership = sent.membershipVersion != state.membershipVersion();
        Optional<MembershipDelta> membership =
                newMembership ? Optional.of(membershipSince(sent.membershipVersion)) : Optional.empty();
        var quarantined = state.quarantine().quarantinedSince(sent.quarantineVersion);
        Map<String, WeightVersion> weights =
                sent.weightChanges == state.weights().changes()
                        ? Map.of()
                        : state.weights().newestByService();
        sent.revision = Math.max(sent.revision, state.configurations().newestNumber());
        sent.membershipVersion = state.membershipVersion();
        sent.quarantineVersion = state.quarantineVersion();
        sent.weightChanges = state.weights().changes();
        return new EntryState(term, configuration, membership, shares, quarantined, weights);
    }

    /** Returns the change since a version; connections at the same version share one computed change. */
    private MembershipDelta membershipSince(long version) {
        if (deltasVersion != state.membershipVersion()) {
            deltasVersion = state.membershipVersion();
            deltas.clear();
        }
        return deltas.computeIfAbsent(version, state::membershipSince);
    }

    /** Versions last sent on a connection. Confined to the control executor. */
    private static final class SentVersions {
        private long revision;
        private long membershipVersion;
        private long quarantineVersion;
        private long weightChanges = NOTHING_SENT;
    }
}
