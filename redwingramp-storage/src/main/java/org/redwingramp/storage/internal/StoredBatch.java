package org.redwingramp.storage.internal;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;

/**
 * A batch as it is stored in a log segment. Immutable and thread safe.
 *
 * @param sequence the sequence number of the batch in the data folder, which rises by 1
 * with each batch
 * @param hardState the new term and vote, if they changed
 * @param snapshot the new snapshot, if any; its content is stored in a file of its own
 * @param truncateFrom the index from which entries are removed, 0 for none
 * @param entries the entries to append
 */
record StoredBatch(long sequence, Optional<HardState> hardState, Optional<SnapshotRef> snapshot, long truncateFrom,
		List<LogEntry> entries) {

	static StoredBatch of(long sequence, PersistBatch batch) {
		return new StoredBatch(sequence, batch.hardState(),
				batch.snapshot().map((snapshot) -> new SnapshotRef(snapshot.index(), snapshot.term())),
				batch.truncateFrom(), batch.entries());
	}

	Frame encode() {
		return new Frame(Frame.Type.BATCH, Formats.encode((output) -> {
			output.writeLong(this.sequence);
			output.writeBoolean(this.hardState.isPresent());
			if (this.hardState.isPresent()) {
				Formats.writeHardState(output, this.hardState.get());
			}
			SnapshotRef reference = this.snapshot.orElse(SnapshotRef.NONE);
			output.writeLong(reference.index());
			output.writeLong(reference.term());
			output.writeLong(this.truncateFrom);
			Formats.writeEntries(output, this.entries);
		}));
	}

	static Optional<StoredBatch> decode(byte[] data, int offset) {
		return Frame.decode(data, offset, Frame.Type.BATCH)
			.flatMap((frame) -> Formats.decode(frame.payload(), StoredBatch::read));
	}

	private static StoredBatch read(DataInputStream input) throws IOException {
		long sequence = input.readLong();
		Optional<HardState> hardState = input.readBoolean() ? Optional.of(Formats.readHardState(input))
				: Optional.empty();
		SnapshotRef reference = new SnapshotRef(input.readLong(), input.readLong());
		return new StoredBatch(sequence, hardState, Optional.of(reference).filter((ref) -> ref.index() > 0),
				input.readLong(), Formats.readEntries(input));
	}

}
