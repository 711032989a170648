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
 * Checks the promises of the replicated log against what all replicas did. Not thread
 * safe.
 */
final class ReplicaChecks {

	private final World world;

	private final List<LogEntry> committed = new ArrayList<>();

	private final Map<Long, Long> digests = new HashMap<>();

	private final Map<Long, ReplicaId> leaders = new HashMap<>();

	private final Map<ReplicaId, Long> terms = new HashMap<>();

	private final Map<ReplicaId, Long> syncedTerms = new HashMap<>();

	private final Map<ReplicaId, Long> delivered = new HashMap<>();

	private Optional<Membership> membership = Optional.empty();

	private Runnable membershipListener = () -> {
	};

	private long acknowledged;

	private long reads;

	ReplicaChecks(World world) {
		this.world = world;
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
		this.delivered.put(process.id(), process.replica().commitIndex());
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

	void decided(ReplicaProcess process, ReplicaEffects effects) {
		effects.snapshotToInstall().ifPresent((snapshot) -> this.delivered.put(process.id(), snapshot.index()));
		for (LogEntry entry : effects.committed()) {
			long expected = this.delivered.merge(process.id(), 1L, Long::sum);
			if (entry.index() != expected) {
				violation(process.name() + " delivered entry " + entry.index() + " where " + expected + " was due");
			}
			decided(process, entry);
		}
	}

	private void decided(ReplicaProcess process, LogEntry entry) {
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
			this.world.trace().note("membership " + this.membership.get());
			this.membershipListener.run();
		}
	}

	void applied(ReplicaProcess process) {
		Long known = this.digests.putIfAbsent(process.applied(), process.machine().digest());
		if (known != null && known != process.machine().digest()) {
			violation("state of " + process.name() + " differs after entry " + process.applied());
		}
	}

	void acknowledged(LogEntry entry) {
		this.acknowledged = Math.max(this.acknowledged, entry.index());
	}

	// Runs after each event, so it sees each moment at which a lease starts.
	void afterEach() {
		int readers = 0;
		for (ReplicaProcess process : this.world.replicas()) {
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
		if (process.replica().commitIndex() < this.acknowledged) {
			violation(process.name() + " may read up to entry " + process.replica().commitIndex() + " although entry "
					+ this.acknowledged + " is acknowledged");
		}
	}

	private void checkTerm(ReplicaProcess process) {
		long term = process.replica().term();
		Long former = this.terms.put(process.id(), term);
		if (former != null && former > term) {
			violation("the term of " + process.id() + " went from " + former + " to " + term);
		}
		if (process.replica().role() == Role.LEADER) {
			ReplicaId leader = this.leaders.putIfAbsent(term, process.id());
			if (leader == null) {
				this.world.trace().note(process.id() + " leads term " + term);
			}
			else if (!leader.equals(process.id())) {
				violation("two leaders in term " + term + ": " + leader + " and " + process.id());
			}
		}
	}

	void checkLogs() {
		List<ReplicaProcess> all = this.world.replicas();
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
		this.world.trace().violation(what);
	}

}
