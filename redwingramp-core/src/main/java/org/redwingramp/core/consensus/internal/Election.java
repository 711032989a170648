package org.redwingramp.core.consensus.internal;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.PeerMessage.FormCommit;
import org.redwingramp.core.consensus.PeerMessage.PreVoteReply;
import org.redwingramp.core.consensus.PeerMessage.PreVoteRequest;
import org.redwingramp.core.consensus.PeerMessage.VoteReply;
import org.redwingramp.core.consensus.PeerMessage.VoteRequest;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Runs leader elections with a pre-vote and answers the vote requests of other replicas.
 * Invariants: an empty replica grants no vote; a vote is persisted before it is sent; no
 * vote is granted within the minimum election timeout after the last contact with a
 * leader. Not thread safe.
 */
final class Election {

	private final Context context;

	private final Set<ReplicaId> grantedBy = new LinkedHashSet<>();

	private boolean preVoting;

	private long electionDeadlineNanos;

	Election(Context context) {
		this.context = context;
	}

	// Each voter draws its election timeout from its own part of the range, so that
	// voters that start at the same time rarely split the vote.
	void resetElectionTimeout() {
		long minNanos = this.context.timing().minElectionNanos();
		long rangeNanos = this.context.timing().maxElectionNanos() - minNanos;
		List<ReplicaId> voters = this.context.membership().map(Membership::voters).orElse(List.of());
		int parts = Math.max(1, voters.size());
		int part = Math.max(0, voters.indexOf(this.context.id()));
		long partStartNanos = minNanos + rangeNanos * part / parts;
		this.electionDeadlineNanos = this.context.now()
				+ this.context.random().nextLong(partStartNanos, partStartNanos + rangeNanos / parts + 1);
	}

	// Retries after one to two heartbeat intervals instead of a full election timeout.
	// Replicas that start together often miss the first pre-vote requests because their
	// connections are not open yet, and a pre-vote doesn't change the term.
	private void schedulePreVoteRetry() {
		long heartbeatNanos = this.context.timing().heartbeatNanos();
		this.electionDeadlineNanos = this.context.now()
				+ this.context.random().nextLong(heartbeatNanos, 2 * heartbeatNanos);
	}

	void onLeaderContact() {
		this.preVoting = false;
		resetElectionTimeout();
	}

	// Returns whether the election is won, which happens here only in a group of one.
	boolean tick() {
		if (this.context.leading() || !this.context.voter() || this.context.now() < this.electionDeadlineNanos) {
			return false;
		}
		this.context.changeActivity(Context.Activity.PASSIVE);
		this.context.clearLeader();
		this.preVoting = true;
		requestVotes(new PreVoteRequest(this.context.term() + 1, this.context.clusterId(), lastIndex(), lastTerm()));
		schedulePreVoteRetry();
		resendFormCommit();
		return hasVoteQuorum() && startElection();
	}

	void handle(ReplicaId sender, PreVoteRequest request) {
		if (shouldIgnore(sender, request.clusterId(), request.lastIndex(), request.lastTerm())) {
			return;
		}
		boolean granted = request.term() > this.context.term() && !this.context.hasRecentLeaderContact()
				&& upToDate(request.lastIndex(), request.lastTerm());
		this.context.send(sender, new PreVoteReply((granted) ? request.term() : this.context.term(), granted));
	}

	// Returns whether the election is won, which happens here only in a group of one.
	boolean handle(ReplicaId sender, PreVoteReply reply) {
		if (!this.preVoting || !reply.granted() || reply.term() != this.context.term() + 1) {
			return false;
		}
		this.grantedBy.add(sender);
		return hasVoteQuorum() && startElection();
	}

	void handle(ReplicaId sender, VoteRequest request) {
		boolean granted = !shouldIgnore(sender, request.clusterId(), request.lastIndex(), request.lastTerm())
				&& request.term() == this.context.term() && !this.context.hasRecentLeaderContact()
				&& !this.context.leading() && this.context.canVoteFor(sender)
				&& upToDate(request.lastIndex(), request.lastTerm());
		if (granted) {
			this.context.voteFor(sender);
			onLeaderContact();
		}
		this.context.send(sender, new VoteReply(this.context.term(), granted));
	}

	// Returns whether the request may raise the term of this replica.
	boolean mayRaiseTerm(ReplicaId sender, VoteRequest request) {
		return !shouldIgnore(sender, request.clusterId(), request.lastIndex(), request.lastTerm())
				&& !this.context.hasRecentLeaderContact();
	}

	// Returns whether the election is won.
	boolean handle(ReplicaId sender, VoteReply reply) {
		if (!this.context.candidate() || !reply.granted() || reply.term() != this.context.term()) {
			return false;
		}
		this.grantedBy.add(sender);
		return hasVoteQuorum();
	}

	private boolean startElection() {
		this.preVoting = false;
		this.context.raiseTerm(this.context.term() + 1);
		this.context.changeActivity(Context.Activity.CANDIDATE);
		this.context.voteFor(this.context.id());
		requestVotes(new VoteRequest(this.context.term(), this.context.clusterId(), lastIndex(), lastTerm()));
		resetElectionTimeout();
		return hasVoteQuorum();
	}

	private void requestVotes(PeerMessage request) {
		this.grantedBy.clear();
		this.grantedBy.add(this.context.id());
		group().voters()
			.stream()
			.filter((voter) -> !voter.equals(this.context.id()))
			.forEach((voter) -> this.context.send(voter, request));
	}

	// Resends the last message of group formation, since a voter that missed it is still
	// empty and grants no vote. That voter may still be empty when the other voters have
	// elected a leader and lost it again.
	private void resendFormCommit() {
		this.context.membership()
			.filter(ClusterIds::isFounding)
			.ifPresent((founding) -> founding.voters()
				.stream()
				.filter((voter) -> !voter.equals(this.context.id()))
				.forEach((voter) -> this.context.send(voter, new FormCommit(0, founding))));
	}

	private boolean hasVoteQuorum() {
		return this.grantedBy.stream().filter(group().voters()::contains).count() >= group().quorum();
	}

	// A request of a replica outside the known membership counts only if the sender's log
	// is ahead of this one, since the entry that added the sender may be missing here.
	private boolean shouldIgnore(ReplicaId sender, String clusterId, long lastIndex, long lastTerm) {
		if (this.context.log().isEmpty() || !this.context.clusterId().equals(clusterId)) {
			return true;
		}
		boolean senderAhead = !this.context.log().atLeastAsUpToDateAs(lastIndex, lastTerm);
		return !this.context.member(sender) && !senderAhead;
	}

	// The log comparison of Raft: the term of the last entry decides, then its index.
	private boolean upToDate(long index, long term) {
		return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
	}

	private Membership group() {
		return this.context.membership().orElseThrow();
	}

	private long lastIndex() {
		return this.context.log().lastIndex();
	}

	private long lastTerm() {
		return this.context.log().lastTerm();
	}

}
