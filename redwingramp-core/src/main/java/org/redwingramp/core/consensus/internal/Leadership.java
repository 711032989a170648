package org.redwingramp.core.consensus.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PeerMessage.AppendReply;
import org.redwingramp.core.consensus.PeerMessage.AppendRequest;
import org.redwingramp.core.consensus.PeerMessage.SnapshotReply;
import org.redwingramp.core.consensus.ReplicaEvent.Propose;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * The leader's part of the protocol: heartbeats, log replication, the commit index and
 * the leader lease. Invariants: only entries of the current term are committed by
 * counting replicas; the leader's own copy of an entry counts once it is synced; the
 * lease starts at the send time of messages that a majority acknowledged. Not thread
 * safe.
 */
final class Leadership {

	private final Context context;

	private final Proposals proposals;

	private final SnapshotSender snapshotSender;

	private final Map<ReplicaId, Progress> peers = new TreeMap<>(
			Comparator.comparing(ReplicaId::name).thenComparing(ReplicaId::incarnation));

	private long electedNanos;

	private long lastHeartbeatNanos;

	private long termStartIndex;

	Leadership(Context context) {
		this.context = context;
		this.proposals = new Proposals(context);
		this.snapshotSender = new SnapshotSender(context);
	}

	void start() {
		this.context.changeActivity(Context.Activity.LEADING);
		this.electedNanos = this.context.now();
		this.peers.clear();
		this.context.append(LogEntry.Kind.NO_OP, 0, new byte[0]);
		this.termStartIndex = this.context.log().lastIndex();
		updatePeers();
		heartbeat();
	}

	void stop() {
		this.context.changeActivity(Context.Activity.PASSIVE);
		this.peers.clear();
		this.proposals.failUncommitted();
	}

	// Returns whether a majority acknowledged a message sent within the maximum election
	// timeout, or elected this leader within it.
	boolean hasRecentQuorumContact() {
		return this.context.now() - quorumContactNanos() <= this.context.timing().maxElectionNanos();
	}

	// Returns the latest time at which a majority is known to have followed this leader.
	long quorumContactNanos() {
		return Math.max(this.electedNanos, quorumAcknowledgedSendNanos());
	}

	boolean mayRead(long time) {
		return this.context.leading() && ownTermCommitted()
				&& time - quorumAcknowledgedSendNanos() < this.context.timing().leaderLeaseNanos();
	}

	boolean ownTermCommitted() {
		return this.context.log().commitIndex() >= this.termStartIndex;
	}

	Optional<Progress> progress(ReplicaId replica) {
		return Optional.ofNullable(this.peers.get(replica));
	}

	// Returns whether a replica acknowledged a message sent within the maximum election
	// timeout.
	boolean responsive(ReplicaId replica) {
		return replica.equals(this.context.id()) || progress(replica).filter(
				(peer) -> this.context.now() - peer.acknowledgedSendNanos() <= this.context.timing().maxElectionNanos())
			.isPresent();
	}

	// Returns whether a replica isn't responsive although more than the maximum election
	// timeout has passed since the election.
	boolean unresponsive(ReplicaId replica) {
		return !responsive(replica)
				&& this.context.now() - this.electedNanos > this.context.timing().maxElectionNanos();
	}

	// Returns the time since the last message that a replica acknowledged was sent, at
	// most the time since the election.
	long nanosSinceContact(ReplicaId replica) {
		if (replica.equals(this.context.id())) {
			return 0;
		}
		long acknowledged = progress(replica).map(Progress::acknowledgedSendNanos).orElse(this.electedNanos);
		return this.context.now() - Math.max(acknowledged, this.electedNanos);
	}

	void tick() {
		if (this.context.now() - this.lastHeartbeatNanos >= this.context.timing().heartbeatNanos()) {
			heartbeat();
		}
	}

	void propose(Propose proposal) {
		if (!this.context.leading()) {
			this.proposals.rejectNotLeader(proposal);
		}
		else if (this.proposals.append(proposal)) {
			replicateNewEntries();
		}
	}

	void changeMembership(Membership next) {
		this.context.append(LogEntry.Kind.MEMBERSHIP, 0, next.encode());
		updatePeers();
		replicateNewEntries();
	}

	void handle(ReplicaId sender, AppendReply reply) {
		Progress peer = this.peers.get(sender);
		if (peer == null) {
			return;
		}
		peer.recordReply(reply.sentNanos());
		if (!reply.accepted()) {
			if (peer.rewind(reply.index())) {
				send(sender, peer);
			}
			return;
		}
		if (reply.index() > this.context.log().lastIndex()) {
			throw this.context.violation(sender + " acknowledged entry " + reply.index()
					+ ", but the leader's last entry is " + this.context.log().lastIndex());
		}
		peer.advanceMatchIndex(reply.index());
		advanceCommitIndex();
		sendNewEntries(sender, peer);
	}

	void handle(ReplicaId sender, SnapshotReply reply) {
		Progress peer = this.peers.get(sender);
		if (peer == null) {
			return;
		}
		peer.recordReply(reply.sentNanos());
		this.snapshotSender.handle(sender, peer, reply);
		advanceCommitIndex();
		if (reply.installed()) {
			sendNewEntries(sender, peer);
		}
	}

	// Commits up to the highest entry that a majority of the voters holds, if that entry
	// is of the current term.
	void advanceCommitIndex() {
		long index = quorumValue(this.context.durableIndex().index(), Progress::matchIndex);
		if (index > this.context.log().commitIndex() && this.context.log().termAt(index) == this.context.term()) {
			this.context.commitTo(index);
			this.proposals.discardCommitted();
		}
	}

	private void heartbeat() {
		this.lastHeartbeatNanos = this.context.now();
		this.peers.forEach((id, peer) -> {
			peer.resetWindow();
			send(id, peer);
		});
	}

	private void replicateNewEntries() {
		this.peers.forEach(this::sendNewEntries);
	}

	private void sendNewEntries(ReplicaId receiver, Progress peer) {
		while (peer.transfer().isEmpty() && peer.hasWindowCapacity()
				&& peer.nextIndex() <= this.context.log().lastIndex()) {
			send(receiver, peer);
		}
	}

	private void send(ReplicaId receiver, Progress peer) {
		ReplicaLog log = this.context.log();
		if (peer.transfer().isPresent() || peer.nextIndex() <= log.baseIndex()) {
			this.snapshotSender.send(receiver, peer);
			return;
		}
		long previous = peer.nextIndex() - 1;
		List<LogEntry> entries = log.slice(peer.nextIndex(), SnapshotSender.MAX_CHUNK_BYTES);
		this.context.send(receiver, new AppendRequest(this.context.term(), this.context.clusterId(), this.context.now(),
				previous, log.termAt(previous), log.commitIndex(), entries));
		peer.recordSent(entries.size());
	}

	private void updatePeers() {
		List<ReplicaId> members = group().all();
		this.peers.keySet().removeIf((id) -> !members.contains(id));
		members.stream()
			.filter((id) -> !id.equals(this.context.id()))
			.forEach((id) -> this.peers.computeIfAbsent(id,
					(added) -> new Progress(this.context.log().lastIndex() + 1)));
	}

	private long quorumAcknowledgedSendNanos() {
		return quorumValue(this.context.now(), Progress::acknowledgedSendNanos);
	}

	// Returns the highest value that a majority of the voters has reached.
	private long quorumValue(long own, ToLongFunction<Progress> value) {
		Membership group = group();
		return group.voters()
			.stream()
			.map((id) -> id.equals(this.context.id()) ? own : value.applyAsLong(this.peers.get(id)))
			.sorted(Comparator.reverseOrder())
			.skip(group.quorum() - 1L)
			.findFirst()
			.orElseThrow();
	}

	private Membership group() {
		return this.context.membership().orElseThrow();
	}

}
