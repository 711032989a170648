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
 * The state that the parts of one replica share: identity, term, vote, log, time of the
 * current event and its effects. Invariants, checked on each change: the term only rises,
 * a vote is given once for a term, and at most one leader is accepted for a term. Not
 * thread safe.
 */
final class Context {

	private final ReplicaId id;

	private final NamePolicy names;

	private final ConsensusTiming timing;

	private final RandomGenerator random;

	private final ReplicaLog log;

	private final DurableIndex durable;

	private EffectsBuilder effects = new EffectsBuilder();

	private Activity activity = Activity.PASSIVE;

	private long term;

	private Optional<ReplicaId> votedFor;

	private Optional<ReplicaId> leader = Optional.empty();

	private Optional<ReplicaId> leaderOfTerm = Optional.empty();

	private long leaderHeardNanos;

	private long now;

	private long nextBatch = 1;

	Context(StoredState stored, NamePolicy names, ConsensusTiming timing, RandomGenerator random) {
		this.id = stored.id();
		this.names = names;
		this.timing = timing;
		this.random = random;
		this.log = new ReplicaLog(stored);
		this.durable = new DurableIndex(this.log.lastIndex());
		// A crash may have kept entries of a new term but lost the hard state that was
		// written after them; the vote of that term was not given then.
		boolean termLost = this.log.lastTerm() > stored.hardState().term();
		this.term = (termLost) ? this.log.lastTerm() : stored.hardState().term();
		this.votedFor = (termLost) ? Optional.empty() : stored.hardState().votedFor();
	}

	void begin(long time) {
		this.now = time;
		this.effects = new EffectsBuilder();
	}

	ReplicaEffects finish() {
		if (this.effects.changesLog()) {
			this.durable.written(this.nextBatch, this.log.lastIndex());
		}
		ReplicaEffects result = this.effects.build(this.nextBatch);
		this.nextBatch += result.persist().isPresent() ? 1 : 0;
		return result;
	}

	ReplicaId id() {
		return this.id;
	}

	List<String> listedNames() {
		return this.names.founding();
	}

	NamePolicy names() {
		return this.names;
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

	DurableIndex durable() {
		return this.durable;
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
		if (this.log.blank()) {
			return Role.BLANK;
		}
		return voter() ? Role.FOLLOWER : Role.LEARNER;
	}

	void activity(Activity next) {
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
			throw violation("term can't go from " + this.term + " to " + higher);
		}
		this.term = higher;
		this.votedFor = Optional.empty();
		this.leader = Optional.empty();
		this.leaderOfTerm = Optional.empty();
		this.effects.hardState(new HardState(this.term, this.votedFor));
	}

	boolean mayVoteFor(ReplicaId candidate) {
		return this.votedFor.isEmpty() || this.votedFor.get().equals(candidate);
	}

	void voteFor(ReplicaId candidate) {
		if (!mayVoteFor(candidate)) {
			throw violation("second vote in term " + this.term);
		}
		this.votedFor = Optional.of(candidate);
		this.effects.hardState(new HardState(this.term, this.votedFor));
	}

	void acceptLeader(ReplicaId sender) {
		if (this.leaderOfTerm.isPresent() && !this.leaderOfTerm.get().equals(sender)) {
			throw violation("two leaders in term " + this.term + ": " + this.leaderOfTerm.get() + " and " + sender);
		}
		this.leader = Optional.of(sender);
		this.leaderOfTerm = this.leader;
		this.leaderHeardNanos = this.now;
	}

	// Starts the time in which votes are refused, as if a leader had been heard.
	void assumeLeaderHeard(long time) {
		this.leaderHeardNanos = time;
	}

	boolean leaderHeardRecently() {
		return this.now - this.leaderHeardNanos < this.timing.minElectionNanos();
	}

	void forgetLeader() {
		this.leader = Optional.empty();
	}

	void send(ReplicaId receiver, PeerMessage message) {
		this.effects.send(new Outbound(receiver, message));
	}

	void append(LogEntry.Kind kind, long clockMillis, byte[] payload) {
		long clock = Math.max(clockMillis, this.log.lastClock());
		append(new LogEntry(this.log.lastIndex() + 1, this.term, kind, clock, payload));
	}

	void append(LogEntry entry) {
		this.log.append(entry);
		this.effects.append(entry);
	}

	void truncate(long from) {
		this.log.truncate(from);
		this.durable.truncated(from);
		this.effects.truncateFrom(from);
	}

	void commitTo(long index) {
		this.effects.commit(this.log.commitTo(index));
	}

	void install(Snapshot snapshot) {
		this.log.install(snapshot);
		this.effects.snapshot(snapshot);
		this.effects.install(snapshot);
	}

	ConsensusInvariantException violation(String what) {
		return new ConsensusInvariantException("Replica " + this.id + ": " + what + "; stop it and keep its data");
	}

	/** What a replica does besides following. */
	enum Activity {

		PASSIVE, CANDIDATE, LEADING

	}

}
