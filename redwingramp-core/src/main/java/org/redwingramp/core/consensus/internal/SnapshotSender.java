package org.redwingramp.core.consensus.internal;

import java.util.Arrays;

import org.redwingramp.core.consensus.PeerMessage.SnapshotChunk;
import org.redwingramp.core.consensus.PeerMessage.SnapshotReply;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;

/**
 * Sends a snapshot in chunks to a replica that needs entries that were compacted. One
 * chunk is in flight at a time. A transfer continues with its snapshot when a newer one
 * is created, since it would otherwise start again at each compaction. Not thread safe.
 */
final class SnapshotSender {

	/** Maximum size of a snapshot chunk and of the entries of one append request. */
	static final int MAX_CHUNK_BYTES = 256 * 1024;

	private final Context context;

	SnapshotSender(Context context) {
		this.context = context;
	}

	void send(ReplicaId receiver, Progress progress) {
		if (progress.transfer().isEmpty()) {
			progress.startTransfer(this.context.log().snapshot().orElseThrow());
		}
		Snapshot snapshot = progress.transfer().orElseThrow();
		int from = (int) progress.transferOffset();
		int to = Math.min(snapshot.state().length, from + MAX_CHUNK_BYTES);
		this.context.send(receiver,
				new SnapshotChunk(this.context.term(), this.context.clusterId(), this.context.now(), snapshot.index(),
						snapshot.term(), snapshot.clockMillis(), snapshot.membership(), snapshot.state().length, from,
						Arrays.copyOfRange(snapshot.state(), from, to)));
	}

	void handle(ReplicaId sender, Progress progress, SnapshotReply reply) {
		if (progress.transfer().filter((snapshot) -> snapshot.index() == reply.index()).isEmpty()) {
			return;
		}
		if (reply.installed()) {
			progress.endTransfer();
			progress.advanceMatchIndex(reply.index());
			return;
		}
		int size = progress.transfer().orElseThrow().state().length;
		if (reply.nextOffset() != progress.transferOffset() && reply.nextOffset() <= size) {
			progress.continueTransfer(reply.nextOffset());
			send(sender, progress);
		}
	}

}
