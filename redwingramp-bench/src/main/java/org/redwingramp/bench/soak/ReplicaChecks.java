package org.redwingramp.bench.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;

/**
 * Checks the invariants of the replicated log across all replicas: terms, leaders,
 * leases, and the order and durability of committed entries. Not thread safe.
 */
final class ReplicaChecks {

	private final SimulatedCluster cluster;

	private final List<LogEntry> committed = new ArrayList<>();

	private final Map<Long, Long> digestsByIndex = new HashMap<>();

	private final Map<Long, ReplicaId> leadersByTerm = new HashMap<>();

	private final Map<ReplicaId, Long> terms = new HashMap<>();

	private final Map<ReplicaId, Long> syncedTerms = new HashMap<>();

	private final Map<ReplicaId, Long> deliveredIndexes = new HashMap<>();

	private Optional<Membership> membership = Optional.empty();

	private Runnable membershipListener = () -> {
	};

	private long acknowledgedIndex;

	private long reads;

	ReplicaChecks(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	void onMembership(Runnable listener) {
		this.membershipListener = listener;
	}

	Optional<Membership> membership() {
		return this.membership;
	}

	long committedEntries() {
		return this.committed.size();
	}

	long reads() {
		return this.reads;
	}

	void started(ReplicaProcess process) {
		this.deliveredIndexes.put(process.id(), process.replica().commitIndex());
		long term = process.replica().term();
		if (term < this.syncedTerms.getOrDefault(process.id(), 0L)) {
			violation(process.id() + " restarted with term " + term + " after " + this.syncedTerms.get(process.id())
					+ " was synced");
		}
		this.terms.put(process.id(), term);
	}

	void synced(ReplicaProcess process, PersistBatch batch) {
		batch.hardState().ifPresent((state) -> this.syncedTerms.put(process.id(), state.term()));
	}

	void checkEffects(ReplicaProcess process, ReplicaEffects effects) {
		effects.snapshotToInstall().ifPresent((snapshot) -> this.deliveredIndexes.put(process.id(), snapshot.index()));
		for (LogEntry entry : effects.committed()) {
			long expected = this.deliveredIndexes.merge(process.id(), 1L, Long::sum);
			if (entry.index() != expected) {
				violation(process.name() + " delivered entry " + entry.index() + " where " + expected + " was due");
			}
			checkCommitted(process, entry);
		}
	}

	private void checkCommitted(ReplicaProcess process, LogEntry entry) {
		if (entry.index() > this.committed.size() + 1) {
			violation(process.name() + " delivered entry " + entry.index() + ", only " + this.committed.size()
					+ " are known");
			return;
		}
		if (entry.index() <= this.committed.size()) {
			LogEntry known = this.committed.get((int) entry.index() - 1);
			if (known.term() != entry.term() || !Arrays.equals(known.payload(), entry.payload())) {
				violation("committed entry " + entry.index() + " of term " + known.term() + " was lost; "
						+ process.name() + " has one of term " + entry.term());
			}
			return;
		}
		if (!this.committed.isEmpty()
				&& this.committed.get(this.committed.size() - 1).clockMillis() > entry.clockMillis()) {
			violation("the clock went back at entry " + entry.index());
		}
		this.committed.add(entry);
		if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
			this.membership = Optional.of(Membership.decode(entry.payload()));
			this.cluster.trace().log("membership " + this.membership.get());
			this.membershipListener.run();
		}
	}

	void applied(ReplicaProcess process) {
		Long known = this.digestsByIndex.putIfAbsent(process.appliedIndex(), process.stateMachine().digest());
		if (known != null && known != process.stateMachine().digest()) {
			violation("state of " + process.name() + " differs after entry " + process.appliedIndex());
		}
	}

	void acknowledged(LogEntry entry) {
		this.acknowledgedIndex = Math.max(this.acknowledgedIndex, entry.index());
	}

	// Runs after each event, so it observes each start of a leader lease.
	void afterEachEvent() {
		int readers = 0;
		for (ReplicaProcess process : this.cluster.replicas()) {
			if (!process.running()) {
				continue;
			}
			if (process.mayRead()) {
				readers++;
				this.reads++;
				checkCurrent(process);
			}
			checkTerm(process);
		}
		if (readers > 1) {
			violation("two leaders may read at the same time");
		}
	}

	private void checkCurrent(ReplicaProcess process) {
		if (process.replica().commitIndex() < this.acknowledgedIndex) {
			violation(process.name() + " may read up to entry " + process.replica().commitIndex() + " although entry "
					+ this.acknowledgedIndex + " is acknowledged");
		}
	}

	private void checkTerm(ReplicaProcess process) {
		long term = process.replica().term();
		Long previous = this.terms.put(process.id(), term);
		if (previous != null && previous > term) {
			violation("the term of " + process.id() + " went from " + previous + " to " + term);
		}
		if (process.replica().role() == Role.LEADER) {
			ReplicaId leader = this.leadersByTerm.putIfAbsent(term, process.id());
			if (leader == null) {
				this.cluster.trace().log(process.id() + " leads term " + term);
			}
			else if (!leader.equals(process.id())) {
				violation("two leaders in term " + term + ": " + leader + " and " + process.id());
			}
		}
	}

	void checkLogs() {
		List<ReplicaProcess> all = this.cluster.replicas();
		for (int i = 0; i < all.size(); i++) {
			for (int j = i + 1; j < all.size(); j++) {
				long mismatch = all.get(i).disk().mismatch(all.get(j).disk());
				if (mismatch > 0) {
					violation("logs of " + all.get(i).name() + " and " + all.get(j).name() + " differ at entry "
							+ mismatch + " although they share a later entry");
				}
			}
		}
	}

	private void violation(String what) {
		this.cluster.trace().violation(what);
	}

}
