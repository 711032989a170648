package org.redwingramp.core.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.ReplicaEvent.PeerSeen;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Replaces replicas that lost their disks. Each step changes one voter, so the quorums
 * before and after it overlap: first the lost incarnation is removed and the new one
 * added as a learner, later the learner becomes a voter.
 *
 * <p>
 * Invariants: one change is in flight at a time, started only after an entry of the own
 * term is committed; the voters never become fewer than a majority of the listed names,
 * in an open group of its members; a learner is promoted only when it holds every
 * committed entry. Not thread safe.
 */
final class MembershipChanges {

	/**
	 * A returning replica that isn't blank may be one whose addition was lost with a
	 * leader, or a former incarnation. It waits this many election timeouts, so that a
	 * live or blank replica of that name comes first.
	 */
	private static final int NOT_BLANK_WAIT = 10;

	private final Context context;

	private final Leadership leadership;

	private final Map<String, Newcomer> newcomers = new TreeMap<>();

	MembershipChanges(Context context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	void seen(PeerSeen peer) {
		boolean foreign = !this.context.names().admits(peer.id().name())
				|| peer.id().name().equals(this.context.id().name());
		if (foreign) {
			return;
		}
		Newcomer known = this.newcomers.get(peer.id().name());
		boolean same = known != null && known.id().equals(peer.id());
		long first = (same) ? known.firstSeenNanos() : this.context.now();
		boolean blank = (same) ? known.blank() : peer.blank();
		this.newcomers.put(peer.id().name(), new Newcomer(peer.id(), blank, first, this.context.now()));
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
		return this.leadership.alive(learner) && this.leadership.progress(learner)
			.filter((peer) -> peer.match() >= this.context.log().commitIndex())
			.isPresent();
	}

	private Optional<Membership> replacement(Membership group) {
		return this.newcomers.values()
			.stream()
			.filter((newcomer) -> !group.all().contains(newcomer.id()) && ready(newcomer))
			.map((newcomer) -> replace(group, newcomer.id()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private boolean ready(Newcomer newcomer) {
		long wait = NOT_BLANK_WAIT * this.context.timing().maxElectionNanos();
		return fresh(newcomer) && (newcomer.blank() || this.context.now() - newcomer.firstSeenNanos() > wait);
	}

	// In an open group a newcomer may have been replaced itself before it was admitted.
	private boolean fresh(Newcomer newcomer) {
		long age = this.context.now() - newcomer.lastSeenNanos();
		return !this.context.names().open() || age <= this.context.timing().replaceAfterNanos();
	}

	private Optional<Membership> replace(Membership group, ReplicaId newcomer) {
		List<ReplicaId> sameName = group.all().stream().filter((id) -> id.name().equals(newcomer.name())).toList();
		if (!sameName.stream().allMatch(this.leadership::silent)) {
			return Optional.empty();
		}
		boolean stranger = sameName.isEmpty() && this.context.names().open();
		boolean full = group.all().size() >= this.context.names().groupSize();
		List<ReplicaId> former = (stranger && full) ? longestSilent(group) : sameName;
		if (stranger && full && former.isEmpty()) {
			return Optional.empty();
		}
		List<ReplicaId> voters = group.voters().stream().filter((id) -> !former.contains(id)).toList();
		List<ReplicaId> learners = group.learners().stream().filter((id) -> !former.contains(id)).toList();
		Membership next = new Membership(group.clusterId(), voters, with(learners, newcomer));
		int whole = this.context.names().open() ? group.all().size() : this.context.names().groupSize();
		boolean enough = voters.size() > whole / 2;
		boolean alive = voters.stream().filter(this.leadership::alive).count() >= next.quorum();
		return Optional.of(next).filter((membership) -> enough && alive);
	}

	// A learner that went silent is given up before a voter.
	private List<ReplicaId> longestSilent(Membership group) {
		return Stream.concat(group.learners().stream(), group.voters().stream())
			.filter((id) -> this.leadership.silentNanos(id) > this.context.timing().replaceAfterNanos())
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

	private record Newcomer(ReplicaId id, boolean blank, long firstSeenNanos, long lastSeenNanos) {
	}

}
