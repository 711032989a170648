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
 * Asks for votes and gives them. Invariants: a replica without state gives no vote; a
 * vote is persisted before it is sent or counted by others; no vote is given while a
 * leader was heard within the minimum election timeout. Not thread safe.
 */
final class Election {

	private final Context context;

	private final Set<ReplicaId> grants = new LinkedHashSet<>();

	private boolean preVoting;

	private long deadline;

	Election(Context context) {
		this.context = context;
	}

	// Each voter draws its timeout from its own part of the range, so that voters which
	// start at the same moment rarely split the votes.
	void restartTimer() {
		long min = this.context.timing().minElectionNanos();
		long span = this.context.timing().maxElectionNanos() - min;
		List<ReplicaId> voters = this.context.membership().map(Membership::voters).orElse(List.of());
		int parts = Math.max(1, voters.size());
		int part = Math.max(0, voters.indexOf(this.context.id()));
		long first = min + span * part / parts;
		this.deadline = this.context.now() + this.context.random().nextLong(first, first + span / parts + 1);
	}

	// A round of pre-votes changes no term, so it is repeated soon: replicas that start
	// together often miss the first one while their links are being opened.
	private void repeatPreVoteSoon() {
		long least = this.context.timing().heartbeatNanos();
		this.deadline = this.context.now() + this.context.random().nextLong(least, 2 * least);
	}

	void followLeader() {
		this.preVoting = false;
		restartTimer();
	}

	// Returns whether the election is won, which only a group of one does here.
	boolean tick() {
		if (this.context.leading() || !this.context.voter() || this.context.now() < this.deadline) {
			return false;
		}
		this.context.activity(Context.Activity.PASSIVE);
		this.context.forgetLeader();
		this.preVoting = true;
		startRound(new PreVoteRequest(this.context.term() + 1, this.context.clusterId(), lastIndex(), lastTerm()));
		repeatPreVoteSoon();
		tellBlankReplicas();
		return grantsSuffice() && stand();
	}

	void handle(ReplicaId sender, PreVoteRequest request) {
		if (ignores(sender, request.clusterId(), request.lastIndex(), request.lastTerm())) {
			return;
		}
		boolean granted = request.term() > this.context.term() && !this.context.leaderHeardRecently()
				&& asNew(request.lastIndex(), request.lastTerm());
		this.context.send(sender, new PreVoteReply((granted) ? request.term() : this.context.term(), granted));
	}

	// Returns whether the election is won, which only a group of one does here.
	boolean handle(ReplicaId sender, PreVoteReply reply) {
		if (!this.preVoting || !reply.granted() || reply.term() != this.context.term() + 1) {
			return false;
		}
		this.grants.add(sender);
		return grantsSuffice() && stand();
	}

	void handle(ReplicaId sender, VoteRequest request) {
		boolean granted = !ignores(sender, request.clusterId(), request.lastIndex(), request.lastTerm())
				&& request.term() == this.context.term() && !this.context.leaderHeardRecently()
				&& !this.context.leading() && this.context.mayVoteFor(sender)
				&& asNew(request.lastIndex(), request.lastTerm());
		if (granted) {
			this.context.voteFor(sender);
			followLeader();
		}
		this.context.send(sender, new VoteReply(this.context.term(), granted));
	}

	// Returns whether a request may raise the term of this replica.
	boolean heeds(ReplicaId sender, VoteRequest request) {
		return !ignores(sender, request.clusterId(), request.lastIndex(), request.lastTerm())
				&& !this.context.leaderHeardRecently();
	}

	// Returns whether the election is won.
	boolean handle(ReplicaId sender, VoteReply reply) {
		if (!this.context.candidate() || !reply.granted() || reply.term() != this.context.term()) {
			return false;
		}
		this.grants.add(sender);
		return grantsSuffice();
	}

	private boolean stand() {
		this.preVoting = false;
		this.context.raiseTerm(this.context.term() + 1);
		this.context.activity(Context.Activity.CANDIDATE);
		this.context.voteFor(this.context.id());
		startRound(new VoteRequest(this.context.term(), this.context.clusterId(), lastIndex(), lastTerm()));
		restartTimer();
		return grantsSuffice();
	}

	private void startRound(PeerMessage request) {
		this.grants.clear();
		this.grants.add(this.context.id());
		group().voters()
			.stream()
			.filter((voter) -> !voter.equals(this.context.id()))
			.forEach((voter) -> this.context.send(voter, request));
	}

	// Repeats the end of formation for members that missed it, since a blank replica
	// gives no vote. It may still be missed after a leader was elected by the others
	// and lost.
	private void tellBlankReplicas() {
		this.context.membership()
			.filter(ClusterIds::formed)
			.ifPresent((formed) -> formed.voters()
				.stream()
				.filter((voter) -> !voter.equals(this.context.id()))
				.forEach((voter) -> this.context.send(voter, new FormCommit(0, formed))));
	}

	private boolean grantsSuffice() {
		return this.grants.stream().filter(group().voters()::contains).count() >= group().quorum();
	}

	// A replica outside the membership known here is heard only if its log is ahead,
	// since the entry that added it may be missing here.
	private boolean ignores(ReplicaId sender, String clusterId, long index, long term) {
		if (this.context.log().blank() || !this.context.clusterId().equals(clusterId)) {
			return true;
		}
		boolean ahead = !this.context.log().atLeastAsNewAs(index, term);
		return !this.context.member(sender) && !ahead;
	}

	private boolean asNew(long index, long term) {
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
