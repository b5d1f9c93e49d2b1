package io.rosemarybeam.common.wire;

import java.util.Optional;

import io.rosemarybeam.common.error.ErrorCode;

/** Replies that any process may send. Immutable and safe for use by several threads. */
public sealed interface CommonReply extends Message {
    /**
     * The request took effect.
     *
     * @param number a number whose meaning the request defines, or zero
     */
    record Accepted(long number) implements CommonReply {}

    /**
     * The request had no effect.
     *
     * @param code the reason
     * @param detail the reason in one sentence
     * @param retryAfterMilliseconds delay after which a retry may succeed, or zero if a retry is useless
     */
    record Refused(ErrorCode code, String detail, long retryAfterMilliseconds) implements CommonReply {}

    /**
     * The control host is not the leader.
     *
     * @param leaderName name of the leader, if known
     * @param leaderAddress protocol address of the leader, if known
     */
    record NotLeader(Optional<String> leaderName, Optional<String> leaderAddress) implements CommonReply {}

    /**
     * The state of a process.
     *
     * @param json a JSON document
     */
    record DumpReply(String json) implements CommonReply {}
}
