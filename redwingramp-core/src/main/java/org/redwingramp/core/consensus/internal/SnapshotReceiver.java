package org.redwingramp.core.consensus.internal;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.redwingramp.core.consensus.PeerMessage.SnapshotChunk;
import org.redwingramp.core.consensus.PeerMessage.SnapshotReply;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;

/**
 * Receives a snapshot from the leader in chunks, one snapshot at a time, and installs it
 * when it is complete. Invariant: at most {@link #MAX_SNAPSHOT_BYTES} are buffered. Not
 * thread safe.
 */
final class SnapshotReceiver {

	/** Maximum size of an accepted snapshot, so that a peer can't exhaust the memory. */
	static final int MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

	private final Context context;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private Optional<SnapshotChunk> firstChunk = Optional.empty();

	SnapshotReceiver(Context context) {
		this.context = context;
	}

	void handle(ReplicaId sender, SnapshotChunk chunk) {
		if (alreadyHolds(chunk)) {
			reply(sender, chunk, chunk.totalBytes(), true);
			return;
		}
		if (chunk.totalBytes() > MAX_SNAPSHOT_BYTES || truncateConflicts(chunk) || !acceptChunk(chunk)) {
			reply(sender, chunk, expectedOffset(chunk), false);
			return;
		}
		boolean complete = this.buffer.size() == chunk.totalBytes();
		reply(sender, chunk, this.buffer.size(), complete);
		if (complete) {
			this.context.install(new Snapshot(chunk.index(), chunk.lastTerm(), chunk.clockMillis(), chunk.membership(),
					this.buffer.toByteArray()));
			clear();
		}
	}

	// Returns whether the log holds all entries of the snapshot. If so, commits them,
	// since a snapshot contains only committed entries.
	private boolean alreadyHolds(SnapshotChunk chunk) {
		ReplicaLog log = this.context.log();
		if (chunk.index() <= log.commitIndex()) {
			return true;
		}
		if (log.isEmpty() || !log.holds(chunk.index()) || log.termAt(chunk.index()) != chunk.lastTerm()) {
			return false;
		}
		this.context.commitTo(chunk.index());
		return true;
	}

	// Truncates entries that conflict with the snapshot in a separate batch and returns
	// whether there were any. If the truncation and the snapshot were part of the same
	// batch, a crash between the two writes could leave conflicting entries after the
	// snapshot.
	private boolean truncateConflicts(SnapshotChunk chunk) {
		if (this.context.log().lastIndex() < chunk.index()) {
			return false;
		}
		this.context.truncate(chunk.index());
		return true;
	}

	private boolean acceptChunk(SnapshotChunk chunk) {
		if (chunk.offset() == 0 && !sameTransfer(chunk)) {
			clear();
			this.firstChunk = Optional.of(chunk);
		}
		boolean expected = sameTransfer(chunk) && chunk.offset() == this.buffer.size()
				&& chunk.offset() + chunk.part().length <= chunk.totalBytes();
		if (expected) {
			this.buffer.write(chunk.part(), 0, chunk.part().length);
		}
		return expected;
	}

	private boolean sameTransfer(SnapshotChunk chunk) {
		return this.firstChunk
			.filter((started) -> started.term() == chunk.term() && started.index() == chunk.index()
					&& started.lastTerm() == chunk.lastTerm() && started.totalBytes() == chunk.totalBytes())
			.isPresent();
	}

	private long expectedOffset(SnapshotChunk chunk) {
		return sameTransfer(chunk) ? this.buffer.size() : 0;
	}

	private void clear() {
		this.buffer.reset();
		this.firstChunk = Optional.empty();
	}

	private void reply(ReplicaId sender, SnapshotChunk chunk, long offset, boolean installed) {
		this.context.send(sender,
				new SnapshotReply(this.context.term(), chunk.sentNanos(), chunk.index(), offset, installed));
	}

}
