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
 * The in-memory log: the entries after a base index that compaction advances, the latest
 * snapshot and the commit index. Invariants, checked on each change: entries are
 * contiguous, the commit index only increases, and committed entries are never truncated.
 * Not thread safe.
 */
final class ReplicaLog {

	/**
	 * Number of entries up to the snapshot's index that compaction keeps in memory, so
	 * that a follower that is a few round trips behind doesn't need the full snapshot.
	 */
	static final int RETAINED_ENTRIES = 128;

	/**
	 * Maximum size of the entries that compaction keeps. Large entries are sent again as
	 * part of a snapshot instead.
	 */
	static final long RETAINED_BYTES = 4L * 1024 * 1024;

	/** Size that an entry counts besides its payload. */
	private static final long ENTRY_OVERHEAD_BYTES = 32;

	private final List<LogEntry> entries = new ArrayList<>();

	private final TreeMap<Long, Membership> memberships = new TreeMap<>();

	private Optional<Snapshot> snapshot;

	private long baseIndex;

	private long baseTerm;

	private long baseClockMillis;

	private long commitIndex;

	private long uncommittedBytes;

	ReplicaLog(StoredState stored) {
		this.snapshot = stored.snapshot();
		this.snapshot.ifPresent(this::resetTo);
		stored.entries().stream().filter((entry) -> entry.index() > this.baseIndex).forEach((entry) -> {
			if (entry.index() != lastIndex() + 1) {
				throw new IllegalArgumentException("Stored log of " + stored.id() + " has a gap: index " + entry.index()
						+ " follows index " + lastIndex() + "; discard the data folder");
			}
			append(entry);
		});
	}

	boolean isEmpty() {
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

	long lastClockMillis() {
		return this.entries.isEmpty() ? this.baseClockMillis : this.entries.get(this.entries.size() - 1).clockMillis();
	}

	long commitIndex() {
		return this.commitIndex;
	}

	long uncommittedBytes() {
		return this.uncommittedBytes;
	}

	// Returns whether the term of the entry at the index is known.
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

	boolean atLeastAsUpToDateAs(long otherLastIndex, long otherLastTerm) {
		return lastTerm() > otherLastTerm || (lastTerm() == otherLastTerm && lastIndex() >= otherLastIndex);
	}

	// Returns the entries from the index up to the size limit, but at least one if there
	// is any.
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
					+ " must not follow entry " + lastIndex() + " of term " + lastTerm());
		}
		this.entries.add(entry);
		this.uncommittedBytes += bytes(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.memberships.put(entry.index(), Membership.decode(entry.payload()));
		}
	}

	void truncate(long from) {
		if (from <= this.commitIndex) {
			throw new ConsensusInvariantException("entries from " + from
					+ " conflict with the leader's log, but entries up to " + this.commitIndex + " are committed");
		}
		List<LogEntry> removed = this.entries.subList((int) (from - this.baseIndex - 1), this.entries.size());
		this.uncommittedBytes -= removed.stream().mapToLong(ReplicaLog::bytes).sum();
		removed.clear();
		this.memberships.tailMap(from, true).clear();
	}

	List<LogEntry> commitTo(long index) {
		if (index < this.commitIndex || index > lastIndex()) {
			throw new ConsensusInvariantException("commit index must not change from " + this.commitIndex + " to "
					+ index + " (last entry: " + lastIndex() + ")");
		}
		int start = (int) (this.commitIndex - this.baseIndex);
		List<LogEntry> delivered = List.copyOf(this.entries.subList(start, (int) (index - this.baseIndex)));
		this.uncommittedBytes -= delivered.stream().mapToLong(ReplicaLog::bytes).sum();
		this.commitIndex = index;
		return delivered;
	}

	Snapshot compact(long index, byte[] state) {
		LogEntry last = entry(index);
		Snapshot compacted = new Snapshot(index, last.term(), last.clockMillis(), membershipAt(index).orElseThrow(),
				state);
		this.snapshot = Optional.of(compacted);
		long newBase = baseAfterCompaction(index);
		if (newBase > this.baseIndex) {
			LogEntry base = entry(newBase);
			this.entries.subList(0, (int) (newBase - this.baseIndex)).clear();
			this.baseIndex = newBase;
			this.baseTerm = base.term();
			this.baseClockMillis = base.clockMillis();
		}
		discardObsoleteMemberships();
		return compacted;
	}

	// Returns the index after which compaction up to the given index keeps entries.
	private long baseAfterCompaction(long index) {
		long lowest = Math.max(this.baseIndex, index - RETAINED_ENTRIES);
		long base = index;
		long retained = 0;
		while (base > lowest && retained + bytes(entry(base)) <= RETAINED_BYTES) {
			retained += bytes(entry(base));
			base--;
		}
		return base;
	}

	// Returns the size of the entries in memory.
	long retainedBytes() {
		return this.entries.stream().mapToLong(ReplicaLog::bytes).sum();
	}

	// Replaces the whole log by the snapshot.
	void install(Snapshot received) {
		if (received.index() <= this.commitIndex || received.index() <= lastIndex()) {
			throw new ConsensusInvariantException("snapshot up to entry " + received.index()
					+ " would replace entries up to " + lastIndex() + " (commit index: " + this.commitIndex + ")");
		}
		this.snapshot = Optional.of(received);
		resetTo(received);
	}

	private void resetTo(Snapshot from) {
		this.entries.clear();
		this.memberships.clear();
		this.memberships.put(from.index(), from.membership());
		this.baseIndex = from.index();
		this.baseTerm = from.term();
		this.baseClockMillis = from.clockMillis();
		this.commitIndex = from.index();
		this.uncommittedBytes = 0;
	}

	private void discardObsoleteMemberships() {
		Long inForceAtBase = this.memberships.floorKey(this.baseIndex);
		if (inForceAtBase != null) {
			this.memberships.headMap(inForceAtBase, false).clear();
		}
	}

	private static long bytes(LogEntry entry) {
		return entry.payload().length + ENTRY_OVERHEAD_BYTES;
	}

}
