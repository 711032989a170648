package org.redwingramp.storage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.Membership;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;

/**
 * Batches for the tests of the store. Stateless and thread safe.
 */
public final class Samples {

	/** The name of the replica in the tests. */
	public static final String NAME = "control-a";

	private Samples() {
	}

	/**
	 * Creates a batch that only appends.
	 * @param first the index of the first entry
	 * @param last the index of the last entry
	 * @return the batch
	 */
	public static PersistBatch entries(long first, long last) {
		return new PersistBatch(1, Optional.empty(), Optional.empty(), 0, list(first, last));
	}

	/**
	 * Creates a batch with a snapshot only.
	 * @param index the snapshot's index
	 * @return the batch
	 */
	public static PersistBatch snapshot(long index) {
		return new PersistBatch(1, Optional.empty(), Optional.of(state(index)), 0, List.of());
	}

	/**
	 * Creates a batch with a term and vote only.
	 * @param term the term
	 * @return the batch
	 */
	public static PersistBatch vote(long term) {
		return new PersistBatch(1, Optional.of(new HardState(term, Optional.of(new ReplicaId("control-b", term)))),
				Optional.empty(), 0, List.of());
	}

	/**
	 * Creates entries.
	 * @param first the index of the first
	 * @param last the index of the last
	 * @return the entries
	 */
	public static List<LogEntry> list(long first, long last) {
		return LongStream.rangeClosed(first, last).mapToObj(Samples::entry).toList();
	}

	private static LogEntry entry(long index) {
		return new LogEntry(index, 1 + index / 10, LogEntry.Kind.COMMAND, 1000 + index,
				("command " + index).getBytes(StandardCharsets.UTF_8));
	}

	private static Snapshot state(long index) {
		Membership membership = new Membership("cluster", List.of(new ReplicaId(NAME, 7)), List.of());
		return new Snapshot(index, 3, 1000 + index, membership, ("state " + index).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Describes a state so that two can be compared, since arrays compare by identity.
	 * @param state the state
	 * @return the description without the incarnation
	 */
	public static String describe(StoredState state) {
		return state.hardState() + " "
				+ state.snapshot().map((snapshot) -> snapshot.index() + Arrays.toString(snapshot.state())) + " "
				+ state.entries()
					.stream()
					.map((entry) -> entry.index() + "/" + entry.term() + entry.kind() + entry.clockMillis()
							+ Arrays.toString(entry.payload()))
					.toList();
	}

}
