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
import org.redwingramp.core.consensus.ReplicaEvent.PeerSeen;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Forms the group. The listed replica with the lowest name offers a membership to all
 * others once all were seen blank, and the group starts once all accepted. The first
 * entry of the log holds that membership; it is the same on all replicas.
 *
 * <p>
 * Invariant: a replica takes part in formation only while it holds no state. Not thread
 * safe.
 */
final class Formation {

	private static final long FIRST_TERM = 1;

	private final Context context;

	private final Map<String, ReplicaId> seen = new TreeMap<>();

	private final Map<String, ReplicaId> blank = new TreeMap<>();

	private final Set<ReplicaId> accepted = new HashSet<>();

	private Optional<Membership> offer = Optional.empty();

	private Optional<String> promised = Optional.empty();

	private long lastOfferNanos;

	Formation(Context context) {
		this.context = context;
	}

	void seen(PeerSeen peer) {
		this.seen.put(peer.id().name(), peer.id());
		if (peer.blank()) {
			this.blank.put(peer.id().name(), peer.id());
		}
		else {
			this.blank.remove(peer.id().name());
		}
	}

	void tick() {
		boolean founder = !this.context.listedNames().isEmpty()
				&& this.context.listedNames().get(0).equals(this.context.id().name());
		if (!founder || !this.context.log().blank() || !allSeenBlank()) {
			return;
		}
		List<ReplicaId> voters = this.context.listedNames().stream().map(this::identityOf).toList();
		if (this.offer.filter((group) -> group.voters().equals(voters)).isEmpty()) {
			this.offer = Optional
				.of(new Membership(ClusterIds.create(voters, this.context.random()), voters, List.of()));
			this.accepted.clear();
			offerToAll();
		}
		else if (this.context.now() - this.lastOfferNanos >= this.context.timing().heartbeatNanos()) {
			offerToAll();
		}
		finishIfUnanimous();
	}

	void handle(ReplicaId sender, FormOffer message) {
		Membership group = message.membership();
		List<String> names = group.voters().stream().map(ReplicaId::name).sorted().toList();
		if (includesSelf(group) && group.voters().contains(sender) && names.equals(this.context.listedNames())) {
			this.promised = Optional.of(group.clusterId());
			this.context.send(sender, new FormAccept(0, group.clusterId()));
		}
	}

	void handle(ReplicaId sender, FormAccept message) {
		if (this.offer.filter((group) -> group.clusterId().equals(message.clusterId())).isPresent()) {
			this.accepted.add(sender);
			finishIfUnanimous();
		}
	}

	void handle(ReplicaId sender, FormCommit message) {
		Membership group = message.membership();
		boolean agreed = this.promised.map(group.clusterId()::equals).orElseGet(() -> !replaced(sender));
		if (includesSelf(group) && group.voters().contains(sender) && ClusterIds.formed(group) && agreed) {
			adopt(group);
		}
	}

	private boolean includesSelf(Membership group) {
		return this.context.log().blank() && group.voters().contains(this.context.id());
	}

	// A late message of an incarnation whose disk is lost since tells of a group that may
	// never have started. Any other member that adopted a group stays in it.
	private boolean replaced(ReplicaId sender) {
		return !this.seen.getOrDefault(sender.name(), sender).equals(sender);
	}

	private void finishIfUnanimous() {
		if (!this.context.log().blank() || this.offer.isEmpty()) {
			return;
		}
		Membership group = this.offer.get();
		if (others(group).allMatch(this.accepted::contains)) {
			adopt(group);
			others(group).forEach((voter) -> this.context.send(voter, new FormCommit(0, group)));
		}
	}

	private void adopt(Membership group) {
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

	private boolean allSeenBlank() {
		return this.context.listedNames()
			.stream()
			.allMatch((name) -> name.equals(this.context.id().name()) || this.blank.containsKey(name));
	}

	private ReplicaId identityOf(String name) {
		return name.equals(this.context.id().name()) ? this.context.id() : this.blank.get(name);
	}

	private Stream<ReplicaId> others(Membership group) {
		return group.voters().stream().filter((voter) -> !voter.equals(this.context.id()));
	}

}
