package org.redwingramp.core.consensus;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The replicas of a replicated log, called its group. Immutable and thread safe.
 *
 * @param clusterId the random identifier assigned when the group was formed
 * @param voters the replicas that count towards a quorum
 * @param learners the replicas that receive the log but don't count towards a quorum yet
 */
public record Membership(String clusterId, List<ReplicaId> voters, List<ReplicaId> learners) {

	public Membership {
		voters = List.copyOf(voters);
		learners = List.copyOf(learners);
	}

	/**
	 * Returns the number of voters that form a majority.
	 * @return the quorum's size
	 */
	public int quorum() {
		return this.voters.size() / 2 + 1;
	}

	/**
	 * Returns all replicas of the group.
	 * @return voters, then learners
	 */
	public List<ReplicaId> all() {
		return Stream.concat(this.voters.stream(), this.learners.stream()).toList();
	}

	/**
	 * Encodes the membership for the log. Replica names must not contain spaces, commas
	 * or hash signs.
	 * @return the encoded form
	 */
	public byte[] encode() {
		String text = this.clusterId + " " + join(this.voters) + " " + join(this.learners);
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes a membership from the log.
	 * @param payload the encoded form
	 * @return the membership
	 */
	public static Membership decode(byte[] payload) {
		String[] parts = new String(payload, StandardCharsets.UTF_8).split(" ", -1);
		return new Membership(parts[0], parseIds(parts[1]), parseIds(parts[2]));
	}

	private static String join(List<ReplicaId> ids) {
		return ids.stream().map(ReplicaId::toString).collect(Collectors.joining(","));
	}

	private static List<ReplicaId> parseIds(String text) {
		return Arrays.stream(text.split(","))
			.filter((part) -> !part.isEmpty())
			.map((part) -> part.split("#"))
			.map((part) -> new ReplicaId(part[0], Long.parseUnsignedLong(part[1], 16)))
			.toList();
	}

}
