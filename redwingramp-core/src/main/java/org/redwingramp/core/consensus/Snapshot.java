package org.redwingramp.core.consensus;

/**
 * A snapshot of the state machine at an index of the log. Immutable by convention: the
 * state is never changed after construction. Thread safe.
 *
 * @param index the index of the last entry that the state includes
 * @param term the term of that entry
 * @param clockMillis the wall clock of that entry in milliseconds
 * @param membership the membership in force at that index
 * @param state the encoded state of the state machine
 */
public record Snapshot(long index, long term, long clockMillis, Membership membership, byte[] state) {
}
