package org.redwingramp.core.consensus.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PeerMessage.FormAccept;
import org.redwingramp.core.consensus.PeerMessage.FormCommit;
import org.redwingramp.core.consensus.PeerMessage.FormOffer;
import org.redwingramp.core.consensus.ReplicaEvent.PeerDiscovered;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Forms (bootstraps) the group. Once all founding replicas have reported that they are
 * empty, the one with the lowest name, the founder, offers a membership to the others.
 * Once all of them have accepted, each replica writes that membership as the first entry
 * of its log.
 *
 * <p>
 * Invariant: a replica takes part in formation only while it is empty. Not thread safe.
 */
final class Formation {

	private static final long FIRST_TERM = 1;

	private final Context context;

	private final Map<String, ReplicaId> seenPeers = new TreeMap<>();

	private final Map<String, ReplicaId> emptyPeers = new TreeMap<>();

	private final Set<ReplicaId> acceptedBy = new HashSet<>();

	private Optional<Membership> offer = Optional.empty();

	private Optional<String> promisedClusterId = Optional.empty();

	private long lastOfferNanos;

	Formation(Context context) {
		this.context = context;
	}

	void recordPeer(PeerDiscovered peer) {
		this.seenPeers.put(peer.id().name(), peer.id());
		if (peer.blank()) {
			this.emptyPeers.put(peer.id().name(), peer.id());
		}
		else {
			this.emptyPeers.remove(peer.id().name());
		}
	}

	void tick() {
		boolean founder = !this.context.foundingNames().isEmpty()
				&& this.context.foundingNames().get(0).equals(this.context.id().name());
		if (!founder || !this.context.log().isEmpty() || !allPeersEmpty()) {
			return;
		}
		List<ReplicaId> voters = this.context.foundingNames().stream().map(this::identityOf).toList();
		if (this.offer.filter((group) -> group.voters().equals(voters)).isEmpty()) {
			this.offer = Optional
				.of(new Membership(ClusterIds.create(voters, this.context.random()), voters, List.of()));
			this.acceptedBy.clear();
			offerToAll();
		}
		else if (this.context.now() - this.lastOfferNanos >= this.context.timing().heartbeatNanos()) {
			offerToAll();
		}
		commitIfUnanimous();
	}

	void handle(ReplicaId sender, FormOffer message) {
		Membership group = message.membership();
		List<String> names = group.voters().stream().map(ReplicaId::name).sorted().toList();
		if (mayJoin(group) && group.voters().contains(sender) && names.equals(this.context.foundingNames())) {
			this.promisedClusterId = Optional.of(group.clusterId());
			this.context.send(sender, new FormAccept(0, group.clusterId()));
		}
	}

	void handle(ReplicaId sender, FormAccept message) {
		if (this.offer.filter((group) -> group.clusterId().equals(message.clusterId())).isPresent()) {
			this.acceptedBy.add(sender);
			commitIfUnanimous();
		}
	}

	void handle(ReplicaId sender, FormCommit message) {
		Membership group = message.membership();
		boolean agreed = this.promisedClusterId.map(group.clusterId()::equals)
			.orElseGet(() -> !fromReplacedIncarnation(sender));
		if (mayJoin(group) && group.voters().contains(sender) && ClusterIds.isFounding(group) && agreed) {
			adoptMembership(group);
		}
	}

	private boolean mayJoin(Membership group) {
		return this.context.log().isEmpty() && group.voters().contains(this.context.id());
	}

	// A delayed message from an incarnation that has lost its disk may refer to a group
	// that never started. Any other sender has adopted the group and stays in it.
	private boolean fromReplacedIncarnation(ReplicaId sender) {
		return !this.seenPeers.getOrDefault(sender.name(), sender).equals(sender);
	}

	private void commitIfUnanimous() {
		if (!this.context.log().isEmpty() || this.offer.isEmpty()) {
			return;
		}
		Membership group = this.offer.get();
		if (others(group).allMatch(this.acceptedBy::contains)) {
			adoptMembership(group);
			others(group).forEach((voter) -> this.context.send(voter, new FormCommit(0, group)));
		}
	}

	private void adoptMembership(Membership group) {
		if (this.context.term() < FIRST_TERM) {
			this.context.raiseTerm(FIRST_TERM);
		}
		this.context.append(new LogEntry(1, FIRST_TERM, LogEntry.Kind.MEMBERSHIP, 0, group.encode()));
	}

	private void offerToAll() {
		this.lastOfferNanos = this.context.now();
		Membership group = this.offer.orElseThrow();
		others(group).forEach((voter) -> this.context.send(voter, new FormOffer(0, group)));
	}

	private boolean allPeersEmpty() {
		return this.context.foundingNames()
			.stream()
			.allMatch((name) -> name.equals(this.context.id().name()) || this.emptyPeers.containsKey(name));
	}

	private ReplicaId identityOf(String name) {
		return name.equals(this.context.id().name()) ? this.context.id() : this.emptyPeers.get(name);
	}

	private Stream<ReplicaId> others(Membership group) {
		return group.voters().stream().filter((voter) -> !voter.equals(this.context.id()));
	}

}
