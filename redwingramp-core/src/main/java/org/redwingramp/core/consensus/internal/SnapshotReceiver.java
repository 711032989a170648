package org.redwingramp.core.consensus.internal;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.redwingramp.core.consensus.PeerMessage.SnapshotChunk;
import org.redwingramp.core.consensus.PeerMessage.SnapshotReply;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;

/**
 * Collects the chunks of one snapshot at a time. Invariant: at most
 * {@link #MAX_STATE_BYTES} are held. Not thread safe.
 */
final class SnapshotReceiver {

	/** Largest state accepted, so that a peer can't exhaust the memory. */
	static final int MAX_STATE_BYTES = 256 * 1024 * 1024;

	private final Context context;

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private Optional<SnapshotChunk> first = Optional.empty();

	SnapshotReceiver(Context context) {
		this.context = context;
	}

	void handle(ReplicaId sender, SnapshotChunk chunk) {
		if (holdsAlready(chunk)) {
			reply(sender, chunk, chunk.totalBytes(), true);
			return;
		}
		if (chunk.totalBytes() > MAX_STATE_BYTES || removesConflict(chunk) || !collects(chunk)) {
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

	private boolean holdsAlready(SnapshotChunk chunk) {
		ReplicaLog log = this.context.log();
		if (chunk.index() <= log.commitIndex()) {
			return true;
		}
		if (log.blank() || !log.holds(chunk.index()) || log.termAt(chunk.index()) != chunk.lastTerm()) {
			return false;
		}
		this.context.commitTo(chunk.index());
		return true;
	}

	// Removes entries that conflict with the snapshot in a batch of its own. If the
	// removal and the snapshot were one batch, a crash between them could leave
	// conflicting entries after the snapshot.
	private boolean removesConflict(SnapshotChunk chunk) {
		if (this.context.log().lastIndex() < chunk.index()) {
			return false;
		}
		this.context.truncate(chunk.index());
		return true;
	}

	private boolean collects(SnapshotChunk chunk) {
		if (chunk.offset() == 0 && !continues(chunk)) {
			clear();
			this.first = Optional.of(chunk);
		}
		boolean expected = continues(chunk) && chunk.offset() == this.buffer.size()
				&& chunk.offset() + chunk.part().length <= chunk.totalBytes();
		if (expected) {
			this.buffer.write(chunk.part(), 0, chunk.part().length);
		}
		return expected;
	}

	private boolean continues(SnapshotChunk chunk) {
		return this.first
			.filter((started) -> started.term() == chunk.term() && started.index() == chunk.index()
					&& started.lastTerm() == chunk.lastTerm() && started.totalBytes() == chunk.totalBytes())
			.isPresent();
	}

	private long expectedOffset(SnapshotChunk chunk) {
		return continues(chunk) ? this.buffer.size() : 0;
	}

	private void clear() {
		this.buffer.reset();
		this.first = Optional.empty();
	}

	private void reply(ReplicaId sender, SnapshotChunk chunk, long offset, boolean installed) {
		this.context.send(sender,
				new SnapshotReply(this.context.term(), chunk.sentNanos(), chunk.index(), offset, installed));
	}

}
