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
 * Creates sample batches for the tests of the store. Stateless and thread safe.
 */
public final class Samples {

	/** The name of the replica in the tests. */
	public static final String NAME = "control-a";

	private Samples() {
	}

	/**
	 * Creates a batch that only appends entries.
	 * @param first the index of the first entry
	 * @param last the index of the last entry
	 * @return the batch
	 */
	public static PersistBatch appendBatch(long first, long last) {
		return new PersistBatch(1, Optional.empty(), Optional.empty(), 0, logEntries(first, last));
	}

	/**
	 * Creates a batch that holds only a snapshot.
	 * @param index the snapshot's index
	 * @return the batch
	 */
	public static PersistBatch snapshotBatch(long index) {
		return new PersistBatch(1, Optional.empty(), Optional.of(createSnapshot(index)), 0, List.of());
	}

	/**
	 * Creates a batch that holds only a term and a vote.
	 * @param term the term
	 * @return the batch
	 */
	public static PersistBatch voteBatch(long term) {
		return new PersistBatch(1, Optional.of(new HardState(term, Optional.of(new ReplicaId("control-b", term)))),
				Optional.empty(), 0, List.of());
	}

	/**
	 * Creates log entries.
	 * @param first the index of the first entry
	 * @param last the index of the last entry
	 * @return the entries
	 */
	public static List<LogEntry> logEntries(long first, long last) {
		return LongStream.rangeClosed(first, last).mapToObj(Samples::entry).toList();
	}

	private static LogEntry entry(long index) {
		return new LogEntry(index, 1 + index / 10, LogEntry.Kind.COMMAND, 1000 + index,
				("command " + index).getBytes(StandardCharsets.UTF_8));
	}

	private static Snapshot createSnapshot(long index) {
		Membership membership = new Membership("cluster", List.of(new ReplicaId(NAME, 7)), List.of());
		return new Snapshot(index, 3, 1000 + index, membership, ("state " + index).getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Describes a state as a string, so that states can be compared by content; the
	 * arrays in them compare by identity.
	 * @param state the state
	 * @return the description, without the replica's name and incarnation
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
