package org.redwingramp.core.consensus;

import java.util.List;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.internal.ReplicaCore;

/**
 * Factory of {@link Replica} instances. Stateless and thread safe.
 */
public final class Replicas {

	/**
	 * Maximum size of a command in bytes, well below the frame limit of 5 MiB between
	 * daemons. Larger ones are never appended.
	 */
	public static final int MAX_COMMAND_BYTES = 1024 * 1024;

	private Replicas() {
	}

	/**
	 * Creates a replica from the content of its data folder. The state machine starts
	 * empty: the effects of the first event contain the stored snapshot to install, and
	 * committed entries after the snapshot are delivered again.
	 *
	 * <p>
	 * The caller must carry out effects strictly in the order of the events. It may
	 * handle events while a batch is being synced, but the messages, snapshots and
	 * entries of later effects have to wait for that batch too. The
	 * {@link ReplicaEvent.Persisted} event of a batch may be delayed and covers all
	 * earlier batches.
	 * @param stored the content of the data folder
	 * @param listedNames the names of all control replicas from the settings
	 * @param timing the timing
	 * @param random the source of randomness for timeouts and the cluster's identifier
	 * @return the replica
	 * @throws IllegalArgumentException if the stored entries have a gap or the replica's
	 * name isn't listed
	 */
	public static Replica create(StoredState stored, List<String> listedNames, ConsensusTiming timing,
			RandomGenerator random) {
		return ReplicaCore.create(stored, listedNames, timing, random);
	}

	/**
	 * Creates a replica of an open group, which has no fixed list of names. The replicas
	 * with the founding names form the group. Later, any instance that contacts the group
	 * may join it while it has fewer members than the group size, or replace a member
	 * that has been unresponsive for {@link ConsensusTiming#replaceAfterNanos()}.
	 * @param stored the content of the data folder
	 * @param foundingNames the names of the replicas that form the group; empty if this
	 * replica may only join an existing group
	 * @param groupSize the number of voters that the group aims to have
	 * @param timing the timing
	 * @param random the source of randomness
	 * @return the replica
	 */
	public static Replica createOpen(StoredState stored, List<String> foundingNames, int groupSize,
			ConsensusTiming timing, RandomGenerator random) {
		return ReplicaCore.createOpen(stored, foundingNames, groupSize, timing, random);
	}

}
