package io.rosemarybeam.common.wire;

/**
 * A message between processes of the system, numbered in {@link MessageType}.
 *
 * <p>Invariant: every implementation is an immutable record whose components are encoded in order as a MessagePack
 * array; new components are appended at the end. Safe for use by several threads.
 */
public sealed interface Message
        permits HandshakeMessage,
                CommonReply,
                EntryRequest,
                ControlReply,
                OperatorRequest,
                PeerRequest,
                ControlTraffic,
                StoreMessage {}
