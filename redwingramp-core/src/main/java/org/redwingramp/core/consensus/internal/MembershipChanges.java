package org.redwingramp.core.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.ReplicaEvent.PeerDiscovered;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Decides on membership changes while this replica leads. Members that lost their disk
 * are replaced. An open group also admits instances of other names until it has its size,
 * and then in place of members that have been unresponsive for
 * {@link org.redwingramp.core.consensus.ConsensusTiming#replaceAfterNanos()}. Each step
 * changes one voter, so the quorums before and after it overlap: first the old member is
 * removed and the joining replica added as a learner, later the learner is promoted to
 * voter.
 *
 * <p>
 * Invariants: one change is in flight at a time, started only after an entry of the
 * current term is committed; the voters remain a majority of the listed names or, in an
 * open group, of its members; a learner is promoted only when it holds every committed
 * entry. Not thread safe.
 */
final class MembershipChanges {

	/**
	 * The time, in maximum election timeouts, for which a joining replica that isn't
	 * empty waits. It may have been added by a leader that failed before the change was
	 * committed, or it may be an earlier incarnation; a running or empty replica of the
	 * same name takes precedence.
	 */
	private static final int NON_EMPTY_WAIT_ELECTION_TIMEOUTS = 10;

	private final Context context;

	private final Leadership leadership;

	private final Map<String, JoiningReplica> joiningReplicas = new TreeMap<>();

	MembershipChanges(Context context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	void recordPeer(PeerDiscovered peer) {
		boolean ineligible = !this.context.namePolicy().admits(peer.id().name())
				|| peer.id().name().equals(this.context.id().name());
		if (ineligible) {
			return;
		}
		JoiningReplica known = this.joiningReplicas.get(peer.id().name());
		boolean same = known != null && known.id().equals(peer.id());
		long first = (same) ? known.firstSeenNanos() : this.context.now();
		boolean empty = (same) ? known.empty() : peer.blank();
		this.joiningReplicas.put(peer.id().name(), new JoiningReplica(peer.id(), empty, first, this.context.now()));
	}

	void tick() {
		if (!this.leadership.ownTermCommitted() || !this.context.log().membershipCommitted()) {
			return;
		}
		Membership group = this.context.membership().orElseThrow();
		promotion(group).or(() -> replacement(group)).ifPresent(this.leadership::changeMembership);
	}

	private Optional<Membership> promotion(Membership group) {
		return group.learners()
			.stream()
			.filter(this::caughtUp)
			.findFirst()
			.map((learner) -> new Membership(group.clusterId(), with(group.voters(), learner),
					without(group.learners(), learner)));
	}

	private boolean caughtUp(ReplicaId learner) {
		return this.leadership.responsive(learner) && this.leadership.progress(learner)
			.filter((peer) -> peer.matchIndex() >= this.context.log().commitIndex())
			.isPresent();
	}

	private Optional<Membership> replacement(Membership group) {
		return this.joiningReplicas.values()
			.stream()
			.filter((joining) -> !group.all().contains(joining.id()) && isReady(joining))
			.map((joining) -> replaceMember(group, joining.id()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private boolean isReady(JoiningReplica joining) {
		long wait = NON_EMPTY_WAIT_ELECTION_TIMEOUTS * this.context.timing().maxElectionNanos();
		return recentlySeen(joining) && (joining.empty() || this.context.now() - joining.firstSeenNanos() > wait);
	}

	// Returns whether a joining replica may still be running. In an open group, an
	// instance of another name may have taken its place before it was admitted, so it
	// must have been seen within the replacement delay. With listed names, only a replica
	// of the same name can take its place, and that replica overwrites its record.
	private boolean recentlySeen(JoiningReplica joining) {
		long age = this.context.now() - joining.lastSeenNanos();
		return !this.context.namePolicy().open() || age <= this.context.timing().replaceAfterNanos();
	}

	private Optional<Membership> replaceMember(Membership group, ReplicaId joining) {
		List<ReplicaId> sameName = group.all().stream().filter((id) -> id.name().equals(joining.name())).toList();
		if (!sameName.stream().allMatch(this.leadership::unresponsive)) {
			return Optional.empty();
		}
		boolean newName = sameName.isEmpty() && this.context.namePolicy().open();
		boolean full = group.all().size() >= this.context.namePolicy().groupSize();
		List<ReplicaId> replacedMembers = (newName && full) ? replaceableMember(group) : sameName;
		if (newName && full && replacedMembers.isEmpty()) {
			return Optional.empty();
		}
		List<ReplicaId> voters = group.voters().stream().filter((id) -> !replacedMembers.contains(id)).toList();
		List<ReplicaId> learners = group.learners().stream().filter((id) -> !replacedMembers.contains(id)).toList();
		Membership next = new Membership(group.clusterId(), voters, with(learners, joining));
		int referenceSize = this.context.namePolicy().open() ? group.all().size()
				: this.context.namePolicy().groupSize();
		boolean keepsMajority = voters.size() > referenceSize / 2;
		boolean quorumResponsive = voters.stream().filter(this.leadership::responsive).count() >= next.quorum();
		return Optional.of(next).filter((membership) -> keepsMajority && quorumResponsive);
	}

	// Returns at most one member that has been unresponsive for long enough to be
	// replaced, a learner in preference to a voter.
	private List<ReplicaId> replaceableMember(Membership group) {
		return Stream.concat(group.learners().stream(), group.voters().stream())
			.filter((id) -> this.leadership.nanosSinceContact(id) > this.context.timing().replaceAfterNanos())
			.limit(1)
			.toList();
	}

	private static List<ReplicaId> with(List<ReplicaId> ids, ReplicaId added) {
		List<ReplicaId> result = new ArrayList<>(ids);
		result.add(added);
		return result;
	}

	private static List<ReplicaId> without(List<ReplicaId> ids, ReplicaId removed) {
		return ids.stream().filter((id) -> !id.equals(removed)).toList();
	}

	private record JoiningReplica(ReplicaId id, boolean empty, long firstSeenNanos, long lastSeenNanos) {
	}

}
