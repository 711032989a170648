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
import org.redwingramp.core.consensus.ReplicaEvent.PeerDiscovered;
import org.redwingramp.core.consensus.ReplicaEvent.Persisted;
import org.redwingramp.core.consensus.ReplicaEvent.Propose;
import org.redwingramp.core.consensus.ReplicaEvent.Received;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Role;
import org.redwingramp.core.consensus.StoredState;

/**
 * The implementation of {@link Replica}. Dispatches each event to the component that
 * handles it and applies the rules on terms and election timeouts that concern all
 * messages. Not thread safe.
 */
public final class ReplicaCore implements Replica {

	private final Context context;

	private final Formation formation;

	private final Election election;

	private final LogFollower logFollower;

	private final SnapshotReceiver snapshotReceiver;

	private final Leadership leadership;

	private final MembershipChanges membershipChanges;

	private boolean started;

	private ReplicaCore(Context context) {
		this.context = context;
		this.formation = new Formation(context);
		this.election = new Election(context);
		this.logFollower = new LogFollower(context);
		this.snapshotReceiver = new SnapshotReceiver(context);
		this.leadership = new Leadership(context);
		this.membershipChanges = new MembershipChanges(context, this.leadership);
	}

	/**
	 * Creates a replica.
	 * @param stored the content of the data folder
	 * @param listedNames the names of all control replicas
	 * @param timing the timing
	 * @param random the source of randomness
	 * @return the replica
	 * @throws IllegalArgumentException if the stored entries have a gap or the replica's
	 * name isn't listed
	 */
	public static Replica create(StoredState stored, List<String> listedNames, ConsensusTiming timing,
			RandomGenerator random) {
		if (!listedNames.contains(stored.id().name())) {
			throw new IllegalArgumentException("Replica " + stored.id() + " is not in the list of control replicas "
					+ listedNames + "; add it to the settings of all replicas");
		}
		return new ReplicaCore(new Context(stored, NamePolicy.listed(listedNames), timing, random));
	}

	/**
	 * Creates a replica of a group that admits instances of any name.
	 * @param stored the content of the data folder
	 * @param foundingNames the names that form the group, or none
	 * @param groupSize the number of voters that the group aims to have
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
			throw this.context.violation("the monotonic clock went backwards by " + -elapsed + " ns");
		}
		this.context.beginEvent(now);
		if (this.started) {
			handlePause(elapsed);
		}
		else {
			start(now);
		}
		dispatch(event);
		return this.context.finishEvent();
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
	public long logBytes() {
		return this.context.log().retainedBytes();
	}

	@Override
	public boolean mayRead(long now) {
		return this.leadership.mayRead(now);
	}

	// A replica may have acknowledged a heartbeat just before it restarted, so it refuses
	// votes as if it had received a message from the leader now.
	private void start(long now) {
		this.started = true;
		this.context.recordLeaderContact(now);
		this.election.resetElectionTimeout();
		this.context.log().snapshot().ifPresent((snapshot) -> this.context.effects().installSnapshot(snapshot));
	}

	// After a pause of the process, a leader without recent contact to a majority steps
	// down before it handles the event. A follower restarts its election timeout, so that
	// it first handles the heartbeats that were queued during the pause.
	private void handlePause(long elapsed) {
		if (this.context.leading() && !this.leadership.hasRecentQuorumContact()) {
			stepDown();
		}
		else if (this.context.leader().isPresent() && elapsed > this.context.timing().minElectionNanos()) {
			this.election.resetElectionTimeout();
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
			handlePersisted(persisted);
		}
		else if (event instanceof Compact compact) {
			handleCompact(compact);
		}
		else if (event instanceof PeerDiscovered peer) {
			this.formation.recordPeer(peer);
			this.membershipChanges.recordPeer(peer);
		}
		else {
			tick();
		}
	}

	private void tick() {
		this.formation.tick();
		if (this.context.leading()) {
			this.leadership.tick();
			this.membershipChanges.tick();
		}
		else {
			becomeLeaderIf(this.election.tick());
		}
	}

	private void handlePersisted(Persisted persisted) {
		this.context.durableIndex().markSynced(persisted.batch());
		if (this.context.leading()) {
			this.leadership.advanceCommitIndex();
		}
	}

	private void handleCompact(Compact compact) {
		long snapshotIndex = this.context.log().snapshot().map((snapshot) -> snapshot.index()).orElse(0L);
		if (compact.index() > commitIndex()) {
			throw this.context.violation("compaction up to entry " + compact.index()
					+ " requested, but the commit index is " + commitIndex());
		}
		if (compact.index() > snapshotIndex) {
			this.context.effects().persistSnapshot(this.context.log().compact(compact.index(), compact.state()));
		}
	}

	private void receive(ReplicaId sender, PeerMessage message) {
		if (message instanceof PreVoteRequest request) {
			refreshOwnLeaderContact();
			this.election.handle(sender, request);
		}
		else if (message instanceof PreVoteReply reply) {
			handlePreVoteReply(sender, reply);
		}
		else if (message instanceof VoteRequest request) {
			handleVoteRequest(sender, request);
		}
		else if (message instanceof VoteReply reply) {
			if (reconcileTerm(sender, reply)) {
				becomeLeaderIf(this.election.handle(sender, reply));
			}
		}
		else if (message instanceof AppendRequest request) {
			handleAppendRequest(sender, request);
		}
		else if (message instanceof AppendReply reply) {
			if (reconcileTerm(sender, reply) && this.context.leading()) {
				this.leadership.handle(sender, reply);
			}
		}
		else if (message instanceof SnapshotChunk chunk) {
			handleSnapshotChunk(sender, chunk);
		}
		else if (message instanceof SnapshotReply reply) {
			if (reconcileTerm(sender, reply) && this.context.leading()) {
				this.leadership.handle(sender, reply);
			}
		}
		else {
			handleFormation(sender, message);
		}
	}

	private void handleFormation(ReplicaId sender, PeerMessage message) {
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

	private void handlePreVoteReply(ReplicaId sender, PreVoteReply reply) {
		if (reply.granted()) {
			becomeLeaderIf(this.election.handle(sender, reply));
		}
		else {
			reconcileTerm(sender, reply);
		}
	}

	private void handleVoteRequest(ReplicaId sender, VoteRequest request) {
		refreshOwnLeaderContact();
		if (request.term() > this.context.term() && this.election.mayRaiseTerm(sender, request)) {
			adoptTerm(request.term());
		}
		this.election.handle(sender, request);
	}

	private void handleAppendRequest(ReplicaId sender, AppendRequest request) {
		if (isForeignCluster(request.clusterId())) {
			return;
		}
		if (request.term() < this.context.term()) {
			this.context.send(sender, new AppendReply(this.context.term(), request.sentNanos(), false, 0));
			return;
		}
		follow(sender, request.term());
		this.logFollower.handle(sender, request);
	}

	private void handleSnapshotChunk(ReplicaId sender, SnapshotChunk chunk) {
		if (isForeignCluster(chunk.clusterId())) {
			return;
		}
		if (chunk.term() < this.context.term()) {
			this.context.send(sender,
					new SnapshotReply(this.context.term(), chunk.sentNanos(), chunk.index(), 0, false));
			return;
		}
		follow(sender, chunk.term());
		this.snapshotReceiver.handle(sender, chunk);
	}

	private void follow(ReplicaId leader, long term) {
		if (term > this.context.term()) {
			adoptTerm(term);
		}
		this.context.acceptLeader(leader);
		this.context.changeActivity(Context.Activity.PASSIVE);
		this.election.onLeaderContact();
	}

	// Adopts the term of a reply if it is higher and the sender is a member; returns
	// whether the reply is of the term that was current before.
	private boolean reconcileTerm(ReplicaId sender, PeerMessage reply) {
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
		this.context.changeActivity(Context.Activity.PASSIVE);
		this.context.raiseTerm(term);
	}

	private void stepDown() {
		this.leadership.stop();
		this.election.resetElectionTimeout();
	}

	private void becomeLeaderIf(boolean won) {
		if (won) {
			this.leadership.start();
		}
	}

	// Records the leader's last contact with a majority as its last contact with a
	// leader, so that a leader refuses votes while a majority follows it.
	private void refreshOwnLeaderContact() {
		if (this.context.leading()) {
			this.context.recordLeaderContact(this.leadership.quorumContactNanos());
		}
	}

	private boolean isForeignCluster(String clusterId) {
		return !this.context.log().isEmpty() && !this.context.clusterId().equals(clusterId);
	}

}
