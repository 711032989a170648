package org.redwingramp.core.consensus.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.PeerMessage.AppendReply;
import org.redwingramp.core.consensus.PeerMessage.AppendRequest;
import org.redwingramp.core.consensus.PeerMessage.FormAccept;
import org.redwingramp.core.consensus.PeerMessage.FormCommit;
import org.redwingramp.core.consensus.PeerMessage.FormOffer;
import org.redwingramp.core.consensus.PeerMessage.PreVoteReply;
import org.redwingramp.core.consensus.PeerMessage.PreVoteRequest;
import org.redwingramp.core.consensus.PeerMessage.SnapshotChunk;
import org.redwingramp.core.consensus.PeerMessage.SnapshotReply;
import org.redwingramp.core.consensus.PeerMessage.VoteReply;
import org.redwingramp.core.consensus.PeerMessage.VoteRequest;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaEffects;
import org.redwingramp.core.consensus.ReplicaEvent;
import org.redwingramp.core.consensus.ReplicaEvent.Compact;
import org.redwingramp.core.consensus.ReplicaEvent.PeerSeen;
import org.redwingramp.core.consensus.ReplicaEvent.Persisted;
import org.redwingramp.core.consensus.ReplicaEvent.Propose;
import org.redwingramp.core.consensus.ReplicaEvent.Received;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.StoredState;

/**
 * Passes each event to the part that handles it and keeps terms and timers in order. Not
 * thread safe.
 */
public final class ReplicaCore implements Replica {

	private final Context context;

	private final Formation formation;

	private final Election election;

	private final LogFollower follower;

	private final SnapshotReceiver receiver;

	private final Leadership leadership;

	private final MembershipChanges changes;

	private boolean started;

	private ReplicaCore(Context context) {
		this.context = context;
		this.formation = new Formation(context);
		this.election = new Election(context);
		this.follower = new LogFollower(context);
		this.receiver = new SnapshotReceiver(context);
		this.leadership = new Leadership(context);
		this.changes = new MembershipChanges(context, this.leadership);
	}

	/**
	 * Creates a replica.
	 * @param stored the content of the data folder
	 * @param listedNames the names of all control replicas
	 * @param timing the timing
	 * @param random the source of randomness
	 * @return the replica
	 * @throws IllegalArgumentException if the stored entries have a gap or the own name
	 * isn't listed
	 */
	public static Replica create(StoredState stored, List<String> listedNames, ConsensusTiming timing,
			RandomGenerator random) {
		if (!listedNames.contains(stored.id().name())) {
			throw new IllegalArgumentException("Replica " + stored.id() + " isn't in the list of control replicas "
					+ listedNames + "; add it to the settings of all replicas");
		}
		return new ReplicaCore(new Context(stored, NamePolicy.listed(listedNames), timing, random));
	}

	/**
	 * Creates a replica of a group that admits instances of any name.
	 * @param stored the content of the data folder
	 * @param foundingNames the names that form the group, or none
	 * @param groupSize the number of voters that the group keeps
	 * @param timing the timing
	 * @param random the source of randomness
	 * @return the replica
	 */
	public static Replica createOpen(StoredState stored, List<String> foundingNames, int groupSize,
			ConsensusTiming timing, RandomGenerator random) {
		return new ReplicaCore(new Context(stored, NamePolicy.open(foundingNames, groupSize), timing, random));
	}

	@Override
	public ReplicaEffects handle(ReplicaEvent event, long now) {
		long elapsed = now - this.context.now();
		if (this.started && elapsed < 0) {
			throw this.context.violation("the monotonic clock went back by " + -elapsed + " ns");
		}
		this.context.begin(now);
		if (this.started) {
			noticePause(elapsed);
		}
		else {
			start(now);
		}
		dispatch(event);
		return this.context.finish();
	}

	@Override
	public ReplicaId id() {
		return this.context.id();
	}

	@Override
	public Role role() {
		return this.context.role();
	}

	@Override
	public long term() {
		return this.context.term();
	}

	@Override
	public Optional<ReplicaId> leader() {
		return this.context.leader();
	}

	@Override
	public Optional<Membership> membership() {
		return this.context.membership();
	}

	@Override
	public long commitIndex() {
		return this.context.log().commitIndex();
	}

	@Override
	public boolean mayRead(long now) {
		return this.leadership.mayRead(now);
	}

	// A replica that restarts may have acknowledged a heartbeat just before, so it
	// refuses votes as if it had heard the leader now.
	private void start(long now) {
		this.started = true;
		this.context.assumeLeaderHeard(now);
		this.election.restartTimer();
		this.context.log().snapshot().ifPresent((snapshot) -> this.context.effects().install(snapshot));
	}

	// After a pause, a leader whose majority wasn't heard steps down before it handles
	// anything, and a follower first reads the heartbeats that queued up meanwhile.
	private void noticePause(long elapsed) {
		if (this.context.leading() && !this.leadership.quorumHeard()) {
			stepDown();
		}
		else if (this.context.leader().isPresent() && elapsed > this.context.timing().minElectionNanos()) {
			this.election.restartTimer();
		}
	}

	private void dispatch(ReplicaEvent event) {
		if (event instanceof Received received) {
			receive(received.sender(), received.message());
		}
		else if (event instanceof Propose proposal) {
			this.leadership.propose(proposal);
		}
		else if (event instanceof Persisted persisted) {
			persisted(persisted);
		}
		else if (event instanceof Compact compact) {
			compact(compact);
		}
		else if (event instanceof PeerSeen peer) {
			this.formation.seen(peer);
			this.changes.seen(peer);
		}
		else {
			tick();
		}
	}

	private void tick() {
		this.formation.tick();
		if (this.context.leading()) {
			this.leadership.tick();
			this.changes.tick();
		}
		else {
			leadIf(this.election.tick());
		}
	}

	private void persisted(Persisted persisted) {
		this.context.durable().synced(persisted.batch());
		if (this.context.leading()) {
			this.leadership.count();
		}
	}

	private void compact(Compact compact) {
		long newest = this.context.log().snapshot().map((snapshot) -> snapshot.index()).orElse(0L);
		if (compact.index() > commitIndex()) {
			throw this.context
				.violation("asked to compact up to " + compact.index() + ", committed is only up to " + commitIndex());
		}
		if (compact.index() > newest) {
			this.context.effects().snapshot(this.context.log().compact(compact.index(), compact.state()));
		}
	}

	private void receive(ReplicaId sender, PeerMessage message) {
		if (message instanceof PreVoteRequest request) {
			refuseWhileLeading();
			this.election.handle(sender, request);
		}
		else if (message instanceof PreVoteReply reply) {
			preVote(sender, reply);
		}
		else if (message instanceof VoteRequest request) {
			vote(sender, request);
		}
		else if (message instanceof VoteReply reply) {
			if (currentTerm(sender, reply)) {
				leadIf(this.election.handle(sender, reply));
			}
		}
		else if (message instanceof AppendRequest request) {
			append(sender, request);
		}
		else if (message instanceof AppendReply reply) {
			if (currentTerm(sender, reply) && this.context.leading()) {
				this.leadership.handle(sender, reply);
			}
		}
		else if (message instanceof SnapshotChunk chunk) {
			install(sender, chunk);
		}
		else if (message instanceof SnapshotReply reply) {
			if (currentTerm(sender, reply) && this.context.leading()) {
				this.leadership.handle(sender, reply);
			}
		}
		else {
			form(sender, message);
		}
	}

	private void form(ReplicaId sender, PeerMessage message) {
		if (message instanceof FormOffer offer) {
			this.formation.handle(sender, offer);
		}
		else if (message instanceof FormAccept accept) {
			this.formation.handle(sender, accept);
		}
		else if (message instanceof FormCommit commit) {
			this.formation.handle(sender, commit);
		}
	}

	private void preVote(ReplicaId sender, PreVoteReply reply) {
		if (reply.granted()) {
			leadIf(this.election.handle(sender, reply));
		}
		else {
			currentTerm(sender, reply);
		}
	}

	private void vote(ReplicaId sender, VoteRequest request) {
		refuseWhileLeading();
		if (request.term() > this.context.term() && this.election.heeds(sender, request)) {
			adoptTerm(request.term());
		}
		this.election.handle(sender, request);
	}

	private void append(ReplicaId sender, AppendRequest request) {
		if (foreign(request.clusterId())) {
			return;
		}
		if (request.term() < this.context.term()) {
			this.context.send(sender, new AppendReply(this.context.term(), request.sentNanos(), false, 0));
			return;
		}
		follow(sender, request.term());
		this.follower.handle(sender, request);
	}

	private void install(ReplicaId sender, SnapshotChunk chunk) {
		if (foreign(chunk.clusterId())) {
			return;
		}
		if (chunk.term() < this.context.term()) {
			this.context.send(sender,
					new SnapshotReply(this.context.term(), chunk.sentNanos(), chunk.index(), 0, false));
			return;
		}
		follow(sender, chunk.term());
		this.receiver.handle(sender, chunk);
	}

	private void follow(ReplicaId leader, long term) {
		if (term > this.context.term()) {
			adoptTerm(term);
		}
		this.context.acceptLeader(leader);
		this.context.activity(Context.Activity.PASSIVE);
		this.election.followLeader();
	}

	// Takes over a higher term of a member; returns whether the terms are equal.
	private boolean currentTerm(ReplicaId sender, PeerMessage reply) {
		if (reply.term() > this.context.term() && this.context.member(sender)) {
			adoptTerm(reply.term());
			return false;
		}
		return reply.term() == this.context.term();
	}

	private void adoptTerm(long term) {
		if (this.context.leading()) {
			stepDown();
		}
		this.context.activity(Context.Activity.PASSIVE);
		this.context.raiseTerm(term);
	}

	private void stepDown() {
		this.leadership.stop();
		this.election.restartTimer();
	}

	private void leadIf(boolean won) {
		if (won) {
			this.leadership.start();
		}
	}

	private void refuseWhileLeading() {
		if (this.context.leading()) {
			this.context.assumeLeaderHeard(this.leadership.heardNanos());
		}
	}

	private boolean foreign(String clusterId) {
		return !this.context.log().blank() && !this.context.clusterId().equals(clusterId);
	}

}
