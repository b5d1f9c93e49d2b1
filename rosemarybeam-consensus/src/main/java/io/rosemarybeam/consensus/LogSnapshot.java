package io.rosemarybeam.consensus;

/**
 * The encoded state of the state machine after an entry. The state array must not be changed after construction; with
 * that, safe for use by several threads.
 *
 * @param index index of the last entry that the state includes
 * @param term term of that entry
 * @param membership the membership after that entry
 * @param state the encoded state
 */
public record LogSnapshot(long index, long term, Membership membership, byte[] state) {}
