package io.rosemarybeam.entry;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.wire.EntryHostRecord;

/**
 * Identity and addresses of this entry process. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param incarnation drawn at random at each start
 * @param callerAddress IP number and port for callers, trainers and endpoints
 * @param peerAddress IP number and port for other entry processes
 * @param failureDomain failure domain of the host
 */
record EntryIdentity(
        HostName name, long incarnation, String callerAddress, String peerAddress, FailureDomain failureDomain) {
    EntryHostRecord asRecord(boolean draining) {
        return new EntryHostRecord(name, incarnation, callerAddress, peerAddress, failureDomain, draining);
    }
}
