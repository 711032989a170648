package org.redwingramp.core.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.redwingramp.core.consensus.ConsensusInvariantException;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;

/**
 * The log in memory: the entries after a base that compaction moves up, the newest
 * snapshot and the commit index. Invariants, checked on each change: entries are
 * contiguous, the commit index only rises, and committed entries are never truncated. Not
 * thread safe.
 */
final class ReplicaLog {

	/**
	 * Entries kept in memory before a snapshot's index, so that a follower that is a few
	 * round trips behind at a compaction doesn't need the whole snapshot.
	 */
	static final int RETAINED_ENTRIES = 128;

	private final List<LogEntry> entries = new ArrayList<>();

	private final TreeMap<Long, Membership> memberships = new TreeMap<>();

	private Optional<Snapshot> snapshot;

	private long baseIndex;

	private long baseTerm;

	private long baseClock;

	private long commitIndex;

	private long uncommittedBytes;

	ReplicaLog(StoredState stored) {
		this.snapshot = stored.snapshot();
		this.snapshot.ifPresent(this::rebase);
		stored.entries().stream().filter((entry) -> entry.index() > this.baseIndex).forEach((entry) -> {
			if (entry.index() != lastIndex() + 1) {
				throw new IllegalArgumentException("Stored entries of " + stored.id() + " jump from index "
						+ lastIndex() + " to " + entry.index() + "; discard the data folder");
			}
			append(entry);
		});
	}

	boolean blank() {
		return this.snapshot.isEmpty() && this.entries.isEmpty();
	}

	Optional<Snapshot> snapshot() {
		return this.snapshot;
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	long lastClock() {
		return this.entries.isEmpty() ? this.baseClock : this.entries.get(this.entries.size() - 1).clockMillis();
	}

	long commitIndex() {
		return this.commitIndex;
	}

	long uncommittedBytes() {
		return this.uncommittedBytes;
	}

	boolean holds(long index) {
		return index >= this.baseIndex && index <= lastIndex();
	}

	long termAt(long index) {
		return (index == this.baseIndex) ? this.baseTerm : entry(index).term();
	}

	LogEntry entry(long index) {
		return this.entries.get((int) (index - this.baseIndex - 1));
	}

	Optional<Membership> membership() {
		return Optional.ofNullable(this.memberships.lastEntry()).map((latest) -> latest.getValue());
	}

	Optional<Membership> membershipAt(long index) {
		return Optional.ofNullable(this.memberships.floorEntry(index)).map((latest) -> latest.getValue());
	}

	boolean membershipCommitted() {
		return !this.memberships.isEmpty() && this.memberships.lastKey() <= this.commitIndex;
	}

	boolean atLeastAsNewAs(long otherLastIndex, long otherLastTerm) {
		return lastTerm() > otherLastTerm || (lastTerm() == otherLastTerm && lastIndex() >= otherLastIndex);
	}

	// Returns at least one entry if there is one, and further ones up to the size.
	List<LogEntry> slice(long from, int maxBytes) {
		int start = (int) (from - this.baseIndex - 1);
		int end = start;
		long bytes = 0;
		while (end < this.entries.size()) {
			bytes += bytes(this.entries.get(end));
			if (end > start && bytes > maxBytes) {
				break;
			}
			end++;
		}
		return List.copyOf(this.entries.subList(start, end));
	}

	void append(LogEntry entry) {
		if (entry.index() != lastIndex() + 1 || entry.term() < lastTerm()) {
			throw new ConsensusInvariantException("entry " + entry.index() + " of term " + entry.term()
					+ " can't follow entry " + lastIndex() + " of term " + lastTerm());
		}
		this.entries.add(entry);
		this.uncommittedBytes += bytes(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.memberships.put(entry.index(), Membership.decode(entry.payload()));
		}
	}

	void truncate(long from) {
		if (from <= this.commitIndex) {
			throw new ConsensusInvariantException(
					"entry " + from + " conflicts with a leader but is committed up to " + this.commitIndex);
		}
		List<LogEntry> removed = this.entries.subList((int) (from - this.baseIndex - 1), this.entries.size());
		this.uncommittedBytes -= removed.stream().mapToLong(ReplicaLog::bytes).sum();
		removed.clear();
		this.memberships.tailMap(from, true).clear();
	}

	List<LogEntry> commitTo(long index) {
		if (index < this.commitIndex || index > lastIndex()) {
			throw new ConsensusInvariantException("commit index can't go from " + this.commitIndex + " to " + index
					+ " with the last entry at " + lastIndex());
		}
		int start = (int) (this.commitIndex - this.baseIndex);
		List<LogEntry> delivered = List.copyOf(this.entries.subList(start, (int) (index - this.baseIndex)));
		this.uncommittedBytes -= delivered.stream().mapToLong(ReplicaLog::bytes).sum();
		this.commitIndex = index;
		return delivered;
	}

	Snapshot compact(long index, byte[] state) {
		LogEntry last = entry(index);
		Snapshot made = new Snapshot(index, last.term(), last.clockMillis(), membershipAt(index).orElseThrow(), state);
		this.snapshot = Optional.of(made);
		long newBase = Math.max(this.baseIndex, index - RETAINED_ENTRIES);
		if (newBase > this.baseIndex) {
			LogEntry base = entry(newBase);
			this.entries.subList(0, (int) (newBase - this.baseIndex)).clear();
			this.baseIndex = newBase;
			this.baseTerm = base.term();
			this.baseClock = base.clockMillis();
		}
		dropOldMemberships();
		return made;
	}

	// Replaces the whole log.
	void install(Snapshot received) {
		if (received.index() <= this.commitIndex || received.index() <= lastIndex()) {
			throw new ConsensusInvariantException("snapshot up to " + received.index() + " would replace entries up to "
					+ lastIndex() + ", committed up to " + this.commitIndex);
		}
		this.snapshot = Optional.of(received);
		rebase(received);
	}

	private void rebase(Snapshot from) {
		this.entries.clear();
		this.memberships.clear();
		this.memberships.put(from.index(), from.membership());
		this.baseIndex = from.index();
		this.baseTerm = from.term();
		this.baseClock = from.clockMillis();
		this.commitIndex = from.index();
		this.uncommittedBytes = 0;
	}

	private void dropOldMemberships() {
		Long inForceAtBase = this.memberships.floorKey(this.baseIndex);
		if (inForceAtBase != null) {
			this.memberships.headMap(inForceAtBase, false).clear();
		}
	}

	private static long bytes(LogEntry entry) {
		return entry.payload().length + 32L;
	}

}
