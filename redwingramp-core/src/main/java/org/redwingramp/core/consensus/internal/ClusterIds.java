package org.redwingramp.core.consensus.internal;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.zip.CRC32C;

import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.ReplicaId;

/**
 * Creates cluster identifiers: a random part followed by a checksum of the founding
 * voters. The checksum allows a replica to recognise the founding membership even after
 * the log entry that held it was compacted. Stateless and thread safe.
 */
final class ClusterIds {

	private static final int RANDOM_DIGITS = 16;

	private ClusterIds() {
	}

	static String create(List<ReplicaId> voters, RandomGenerator random) {
		return withChecksum(String.format("%016x", random.nextLong()), voters);
	}

	static boolean isFounding(Membership group) {
		return group.clusterId().length() > RANDOM_DIGITS && group.learners().isEmpty() && group.clusterId()
			.equals(withChecksum(group.clusterId().substring(0, RANDOM_DIGITS), group.voters()));
	}

	private static String withChecksum(String prefix, List<ReplicaId> voters) {
		CRC32C checksum = new CRC32C();
		checksum.update((prefix + voters).getBytes(StandardCharsets.UTF_8));
		return prefix + String.format("%08x", checksum.getValue());
	}

}
