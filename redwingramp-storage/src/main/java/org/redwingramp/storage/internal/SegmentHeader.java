package org.redwingramp.storage.internal;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.Optional;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * The header of a log segment, stored as the first frame of its file. Immutable and
 * thread safe.
 *
 * @param id the replica that owns the log
 * @param number the segment's number
 * @param start the state of the log before the first batch of the segment
 */
record SegmentHeader(ReplicaId id, long number, LogState start) {

	Frame encode() {
		return new Frame(Frame.Type.SEGMENT, Formats.encode((output) -> {
			output.writeInt(Formats.VERSION);
			Formats.writeId(output, this.id);
			output.writeLong(this.number);
			output.writeLong(this.start.sequence());
			Formats.writeHardState(output, this.start.hardState());
			output.writeLong(this.start.snapshot().index());
			output.writeLong(this.start.snapshot().term());
			output.writeLong(this.start.lastIndex());
		}));
	}

	static Optional<SegmentHeader> decode(byte[] data) {
		return Frame.decode(data, 0, Frame.Type.SEGMENT)
			.flatMap((frame) -> Formats.decode(frame.payload(), SegmentHeader::read));
	}

	private static SegmentHeader read(DataInputStream input) throws IOException {
		int version = input.readInt();
		if (version != Formats.VERSION) {
			throw new IOException("Unsupported format version " + version);
		}
		return new SegmentHeader(Formats.readId(input), input.readLong(), new LogState(input.readLong(),
				Formats.readHardState(input), new SnapshotRef(input.readLong(), input.readLong()), input.readLong()));
	}

}
