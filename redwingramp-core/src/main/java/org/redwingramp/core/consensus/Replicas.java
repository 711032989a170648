package org.redwingramp.core.consensus;

import java.util.List;
import java.util.random.RandomGenerator;

import org.redwingramp.core.consensus.internal.ReplicaCore;

/**
 * Creates replicas. Stateless and thread safe.
 */
public final class Replicas {

	private Replicas() {
	}

	/**
	 * Creates a replica from what its data folder holds. The effects of the first event
	 * contain the stored snapshot as one to install, so the state machine starts empty.
	 * Committed entries after the snapshot are delivered again.
	 *
	 * <p>
	 * Effects are carried out strictly in the order of the events. Events may be handled
	 * while a batch is being synced, but then the messages, installs and entries of later
	 * effects wait for it too. A batch's {@link ReplicaEvent.Persisted} event may come
	 * late and may stand for all earlier batches.
	 * @param stored the content of the data folder
	 * @param listedNames the names of all control replicas from the settings
	 * @param timing the timing
	 * @param random the source of randomness for timeouts and the cluster's identifier
	 * @return the replica
	 * @throws IllegalArgumentException if the stored entries have a gap or the own name
	 * isn't listed
	 */
	public static Replica create(StoredState stored, List<String> listedNames, ConsensusTiming timing,
			RandomGenerator random) {
		return ReplicaCore.create(stored, listedNames, timing, random);
	}

	/**
	 * Creates a replica of a group without a fixed list of names. The founding names form
	 * the group; later any instance that is seen may take the place of a member that has
	 * been silent for {@link ConsensusTiming#replaceAfterNanos()}.
	 * @param stored the content of the data folder
	 * @param foundingNames the names that form the group; empty if this replica may only
	 * join one
	 * @param groupSize the number of voters that the group keeps
	 * @param timing the timing
	 * @param random the source of randomness
	 * @return the replica
	 */
	public static Replica createOpen(StoredState stored, List<String> foundingNames, int groupSize,
			ConsensusTiming timing, RandomGenerator random) {
		return ReplicaCore.createOpen(stored, foundingNames, groupSize, timing, random);
	}

}
