package io.rosemarybeam.common.wire;

import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;

/**
 * An entry host as the other processes see it. Immutable and safe for use by several threads.
 *
 * @param name name of the host
 * @param incarnation drawn at random at each start of its entry process
 * @param callerAddress IP number and port for callers, trainers and endpoints
 * @param peerAddress IP number and port for other entry processes
 * @param failureDomain where it runs
 * @param draining whether it stops taking new work
 */
public record EntryHostRecord(
        HostName name,
        long incarnation,
        String callerAddress,
        String peerAddress,
        FailureDomain failureDomain,
        boolean draining) {}
