package io.rosemarybeam.consensus;

/**
 * What the log knows of the stored snapshot. The encoded state stays in storage, because it is as large as the state itself.
 * Immutable.
 *
 * @param index index of the last entry that the state includes
 * @param term term of that entry
 * @param membership the membership after that entry
 * @param stateBytes size of the encoded state, in bytes
 */
record SnapshotMetadata(long index, long term, Membership membership, int stateBytes) {
    static SnapshotMetadata of(LogSnapshot snapshot) {
        return new SnapshotMetadata(snapshot.index(), snapshot.term(), snapshot.membership(), snapshot.state().length);
    }
}
