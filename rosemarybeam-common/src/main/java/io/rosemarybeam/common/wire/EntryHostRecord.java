package io.rosemarybeam.common.wire;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * The registration data of an entry host. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param incarnation drawn at random at each start of its entry process
 * @param callerAddress IP address and port for callers, trainers and endpoints
 * @param peerAddress IP address and port for other entry processes
 * @param failureDomain failure domain of the host
 * @param draining whether it accepts no new work
 */
public record EntryHostRecord(
        HostName name,
        long incarnation,
        String callerAddress,
        String peerAddress,
        FailureDomain failureDomain,
        boolean draining) {}
