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
 * What a replica does while it leads: heartbeats, replication, counting, lease.
 * Invariants: only entries of the own term are committed by counting; the own entries
 * count once they are synced; the lease starts at the send time of messages that a
 * majority acknowledged. Not thread safe.
 */
final class Leadership {

	private final Context context;

	private final Proposals proposals;

	private final SnapshotSender snapshots;

	private final Map<ReplicaId, Progress> peers = new TreeMap<>(
			Comparator.comparing(ReplicaId::name).thenComparing(ReplicaId::incarnation));

	private long electedNanos;

	private long lastHeartbeatNanos;

	private long termStart;

	Leadership(Context context) {
		this.context = context;
		this.proposals = new Proposals(context);
		this.snapshots = new SnapshotSender(context);
	}

	void start() {
		this.context.activity(Context.Activity.LEADING);
		this.electedNanos = this.context.now();
		this.peers.clear();
		this.context.append(LogEntry.Kind.NO_OP, 0, new byte[0]);
		this.termStart = this.context.log().lastIndex();
		followMembership();
		heartbeat();
	}

	void stop() {
		this.context.activity(Context.Activity.PASSIVE);
		this.peers.clear();
		this.proposals.lostLeadership();
	}

	// Returns whether a majority was heard within an election timeout.
	boolean quorumHeard() {
		return this.context.now() - heardNanos() <= this.context.timing().maxElectionNanos();
	}

	// Returns when a majority was last known to follow this leader.
	long heardNanos() {
		return Math.max(this.electedNanos, quorumSendNanos());
	}

	boolean mayRead(long time) {
		return this.context.leading() && ownTermCommitted()
				&& time - quorumSendNanos() < this.context.timing().leaderLeaseNanos();
	}

	boolean ownTermCommitted() {
		return this.context.log().commitIndex() >= this.termStart;
	}

	Optional<Progress> progress(ReplicaId replica) {
		return Optional.ofNullable(this.peers.get(replica));
	}

	// Returns whether a replica acknowledged something within an election timeout.
	boolean alive(ReplicaId replica) {
		return replica.equals(this.context.id()) || progress(replica).filter(
				(peer) -> this.context.now() - peer.acknowledgedSendNanos() <= this.context.timing().maxElectionNanos())
			.isPresent();
	}

	// Returns whether the replica had the time to acknowledge something and didn't.
	boolean silent(ReplicaId replica) {
		return !alive(replica) && this.context.now() - this.electedNanos > this.context.timing().maxElectionNanos();
	}

	// Returns how long a replica has acknowledged nothing, counted from the election.
	long silentNanos(ReplicaId replica) {
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
			this.proposals.refuse(proposal);
		}
		else if (this.proposals.append(proposal)) {
			replicate();
		}
	}

	void changeMembership(Membership next) {
		this.context.append(LogEntry.Kind.MEMBERSHIP, 0, next.encode());
		followMembership();
		replicate();
	}

	void handle(ReplicaId sender, AppendReply reply) {
		Progress peer = this.peers.get(sender);
		if (peer == null) {
			return;
		}
		peer.heard(reply.sentNanos());
		if (!reply.accepted()) {
			if (peer.rejected(reply.index())) {
				send(sender, peer);
			}
			return;
		}
		if (reply.index() > this.context.log().lastIndex()) {
			throw this.context.violation(sender + " acknowledged entry " + reply.index() + " beyond the last entry "
					+ this.context.log().lastIndex());
		}
		peer.matched(reply.index());
		count();
		sendNewEntries(sender, peer);
	}

	void handle(ReplicaId sender, SnapshotReply reply) {
		Progress peer = this.peers.get(sender);
		if (peer == null) {
			return;
		}
		peer.heard(reply.sentNanos());
		this.snapshots.handle(sender, peer, reply);
		count();
		if (reply.installed()) {
			sendNewEntries(sender, peer);
		}
	}

	// Commits what a majority of the voters holds, if it is of the own term.
	void count() {
		long index = quorumValue(this.context.durable().index(), Progress::match);
		if (index > this.context.log().commitIndex() && this.context.log().termAt(index) == this.context.term()) {
			this.context.commitTo(index);
			this.proposals.committed();
		}
	}

	private void heartbeat() {
		this.lastHeartbeatNanos = this.context.now();
		this.peers.forEach((id, peer) -> {
			peer.openWindow();
			send(id, peer);
		});
	}

	private void replicate() {
		this.peers.forEach(this::sendNewEntries);
	}

	private void sendNewEntries(ReplicaId receiver, Progress peer) {
		while (peer.transfer().isEmpty() && peer.windowOpen() && peer.next() <= this.context.log().lastIndex()) {
			send(receiver, peer);
		}
	}

	private void send(ReplicaId receiver, Progress peer) {
		ReplicaLog log = this.context.log();
		if (peer.transfer().isPresent() || peer.next() <= log.baseIndex()) {
			this.snapshots.send(receiver, peer);
			return;
		}
		long previous = peer.next() - 1;
		List<LogEntry> entries = log.slice(peer.next(), SnapshotSender.MAX_CHUNK_BYTES);
		this.context.send(receiver, new AppendRequest(this.context.term(), this.context.clusterId(), this.context.now(),
				previous, log.termAt(previous), log.commitIndex(), entries));
		peer.sent(entries.size());
	}

	private void followMembership() {
		List<ReplicaId> members = group().all();
		this.peers.keySet().removeIf((id) -> !members.contains(id));
		members.stream()
			.filter((id) -> !id.equals(this.context.id()))
			.forEach((id) -> this.peers.computeIfAbsent(id,
					(added) -> new Progress(this.context.log().lastIndex() + 1)));
	}

	private long quorumSendNanos() {
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
