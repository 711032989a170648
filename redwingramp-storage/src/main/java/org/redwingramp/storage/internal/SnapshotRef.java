package org.redwingramp.storage.internal;

/**
 * Names the snapshot that a log builds on. Immutable and thread safe.
 *
 * @param index the index of the last entry that the snapshot includes, 0 for none
 * @param term the term of that entry
 */
record SnapshotRef(long index, long term) {

	static final SnapshotRef NONE = new SnapshotRef(0, 0);

}
