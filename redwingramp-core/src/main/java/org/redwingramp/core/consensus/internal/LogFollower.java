package org.redwingramp.core.consensus.internal;

import java.util.List;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PeerMessage.AppendReply;
import org.redwingramp.core.consensus.PeerMessage.AppendRequest;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Handles the append requests of the leader on a follower or learner. Invariants: up to
 * an acknowledged index the log matches the leader's log; the acknowledgement is sent
 * after the entries are synced. Not thread safe.
 */
final class LogFollower {

	private final Context context;

	LogFollower(Context context) {
		this.context = context;
	}

	void handle(ReplicaId sender, AppendRequest request) {
		if (!previousEntryMatches(request)) {
			reply(sender, request, false, conflictHint(request));
			return;
		}
		storeEntries(request.entries());
		long matched = request.previousIndex() + request.entries().size();
		long commit = Math.min(request.commitIndex(), matched);
		if (commit > this.context.log().commitIndex()) {
			this.context.commitTo(commit);
		}
		reply(sender, request, true, matched);
	}

	// Entries before the base index are compacted and therefore committed, so they match
	// the leader's entries.
	private boolean previousEntryMatches(AppendRequest request) {
		ReplicaLog log = this.context.log();
		if (!log.holds(request.previousIndex())) {
			return request.previousIndex() < log.baseIndex();
		}
		boolean same = log.termAt(request.previousIndex()) == request.previousTerm();
		if (!same && request.previousIndex() <= log.commitIndex()) {
			throw this.context.violation(
					"committed entry " + request.previousIndex() + " has term " + log.termAt(request.previousIndex())
							+ ", but the leader's entry has term " + request.previousTerm());
		}
		return same;
	}

	// Returns the index after which the leader should continue. Skips all entries of the
	// conflicting term, so that the leader finds the last matching entry in few requests.
	private long conflictHint(AppendRequest request) {
		ReplicaLog log = this.context.log();
		if (request.previousIndex() > log.lastIndex()) {
			return log.lastIndex();
		}
		long conflictTerm = log.termAt(request.previousIndex());
		long index = request.previousIndex() - 1;
		while (index > log.commitIndex() && log.termAt(index) == conflictTerm) {
			index--;
		}
		return index;
	}

	private void storeEntries(List<LogEntry> entries) {
		ReplicaLog log = this.context.log();
		entries.stream().filter((entry) -> entry.index() > log.baseIndex()).forEach((entry) -> {
			if (log.holds(entry.index()) && log.termAt(entry.index()) != entry.term()) {
				this.context.truncate(entry.index());
			}
			if (!log.holds(entry.index())) {
				this.context.append(entry);
			}
		});
	}

	private void reply(ReplicaId sender, AppendRequest request, boolean accepted, long index) {
		this.context.send(sender, new AppendReply(this.context.term(), request.sentNanos(), accepted, index));
	}

}
