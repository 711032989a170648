package org.redwingramp.core.consensus.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.ConsensusInvariantException;
import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.Outbound;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;

/**
 * The state that the components of one replica share: identity, term, vote, log, the time
 * of the current event and the effects collected for it. Invariants, checked on each
 * change: the term only increases, at most one vote is granted in a term, and at most one
 * leader is accepted in a term. Not thread safe.
 */
final class Context {

	private final ReplicaId id;

	private final NamePolicy namePolicy;

	private final ConsensusTiming timing;

	private final RandomGenerator random;

	private final ReplicaLog log;

	private final DurableIndex durableIndex;

	private EffectsBuilder effects = new EffectsBuilder();

	private Activity activity = Activity.PASSIVE;

	private long term;

	private Optional<ReplicaId> votedFor;

	private Optional<ReplicaId> leader = Optional.empty();

	// Kept when the leader is cleared, to detect two leaders in one term.
	private Optional<ReplicaId> leaderOfTerm = Optional.empty();

	private long leaderContactNanos;

	private long now;

	private long nextBatch = 1;

	Context(StoredState stored, NamePolicy namePolicy, ConsensusTiming timing, RandomGenerator random) {
		this.id = stored.id();
		this.namePolicy = namePolicy;
		this.timing = timing;
		this.random = random;
		this.log = new ReplicaLog(stored);
		this.durableIndex = new DurableIndex(this.log.lastIndex());
		// Entries are written before the hard state of the same batch. After a crash
		// between the two writes, the log holds entries of a newer term than the hard
		// state; no vote was granted in that term yet, since votes are sent after the
		// sync.
		boolean hardStateOutdated = this.log.lastTerm() > stored.hardState().term();
		this.term = (hardStateOutdated) ? this.log.lastTerm() : stored.hardState().term();
		this.votedFor = (hardStateOutdated) ? Optional.empty() : stored.hardState().votedFor();
	}

	void beginEvent(long time) {
		this.now = time;
		this.effects = new EffectsBuilder();
	}

	ReplicaEffects finishEvent() {
		if (this.effects.hasLogChanges()) {
			this.durableIndex.recordPending(this.nextBatch, this.log.lastIndex());
		}
		ReplicaEffects result = this.effects.build(this.nextBatch);
		this.nextBatch += result.persist().isPresent() ? 1 : 0;
		return result;
	}

	ReplicaId id() {
		return this.id;
	}

	List<String> foundingNames() {
		return this.namePolicy.founding();
	}

	NamePolicy namePolicy() {
		return this.namePolicy;
	}

	ConsensusTiming timing() {
		return this.timing;
	}

	RandomGenerator random() {
		return this.random;
	}

	ReplicaLog log() {
		return this.log;
	}

	DurableIndex durableIndex() {
		return this.durableIndex;
	}

	EffectsBuilder effects() {
		return this.effects;
	}

	long now() {
		return this.now;
	}

	long term() {
		return this.term;
	}

	Optional<ReplicaId> leader() {
		return this.leader;
	}

	Optional<Membership> membership() {
		return this.log.membership();
	}

	String clusterId() {
		return membership().map(Membership::clusterId).orElse("");
	}

	boolean voter() {
		return membership().filter((group) -> group.voters().contains(this.id)).isPresent();
	}

	boolean member(ReplicaId replica) {
		return membership().filter((group) -> group.all().contains(replica)).isPresent();
	}

	boolean leading() {
		return this.activity == Activity.LEADING;
	}

	boolean candidate() {
		return this.activity == Activity.CANDIDATE;
	}

	Role role() {
		if (this.activity != Activity.PASSIVE) {
			return leading() ? Role.LEADER : Role.CANDIDATE;
		}
		if (this.log.isEmpty()) {
			return Role.BLANK;
		}
		return voter() ? Role.FOLLOWER : Role.LEARNER;
	}

	void changeActivity(Activity next) {
		this.activity = next;
		if (next == Activity.LEADING) {
			acceptLeader(this.id);
		}
		else if (this.leader.equals(Optional.of(this.id))) {
			this.leader = Optional.empty();
		}
	}

	void raiseTerm(long higher) {
		if (higher <= this.term) {
			throw violation("term must increase, but would change from " + this.term + " to " + higher);
		}
		this.term = higher;
		this.votedFor = Optional.empty();
		this.leader = Optional.empty();
		this.leaderOfTerm = Optional.empty();
		this.effects.persistHardState(new HardState(this.term, this.votedFor));
	}

	boolean canVoteFor(ReplicaId candidate) {
		return this.votedFor.isEmpty() || this.votedFor.get().equals(candidate);
	}

	void voteFor(ReplicaId candidate) {
		if (!canVoteFor(candidate)) {
			throw violation(
					"vote for " + candidate + " in term " + this.term + " after a vote for " + this.votedFor.get());
		}
		this.votedFor = Optional.of(candidate);
		this.effects.persistHardState(new HardState(this.term, this.votedFor));
	}

	void acceptLeader(ReplicaId sender) {
		if (this.leaderOfTerm.isPresent() && !this.leaderOfTerm.get().equals(sender)) {
			throw violation("two leaders in term " + this.term + ": " + this.leaderOfTerm.get() + " and " + sender);
		}
		this.leader = Optional.of(sender);
		this.leaderOfTerm = this.leader;
		this.leaderContactNanos = this.now;
	}

	// Votes are refused for one minimum election timeout from the given time.
	void recordLeaderContact(long time) {
		this.leaderContactNanos = time;
	}

	boolean hasRecentLeaderContact() {
		return this.now - this.leaderContactNanos < this.timing.minElectionNanos();
	}

	void clearLeader() {
		this.leader = Optional.empty();
	}

	void send(ReplicaId receiver, PeerMessage message) {
		this.effects.send(new Outbound(receiver, message));
	}

	void append(LogEntry.Kind kind, long clockMillis, byte[] payload) {
		long clock = Math.max(clockMillis, this.log.lastClockMillis());
		append(new LogEntry(this.log.lastIndex() + 1, this.term, kind, clock, payload));
	}

	void append(LogEntry entry) {
		this.log.append(entry);
		this.effects.append(entry);
	}

	void truncate(long from) {
		this.log.truncate(from);
		this.durableIndex.truncate(from);
		this.effects.truncateFrom(from);
	}

	void commitTo(long index) {
		this.effects.commit(this.log.commitTo(index));
	}

	void install(Snapshot snapshot) {
		this.log.install(snapshot);
		this.effects.persistSnapshot(snapshot);
		this.effects.installSnapshot(snapshot);
	}

	ConsensusInvariantException violation(String description) {
		return new ConsensusInvariantException(
				"Replica " + this.id + ": " + description + "; stop the replica and keep its data folder");
	}

	/** Whether the replica is passive, runs for election or leads. */
	enum Activity {

		PASSIVE, CANDIDATE, LEADING

	}

}
