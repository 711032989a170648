package org.redwingramp.storage.internal;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.Optional;

import org.redwingramp.core.consensus.ReplicaId;

/**
 * The first block of a segment. Immutable and thread safe.
 *
 * @param id the replica whose log it is
 * @param number the segment's number
 * @param start the log's state before the first batch of the segment
 */
record SegmentHeader(ReplicaId id, long number, LogState start) {

	Block encode() {
		return new Block(Block.Type.SEGMENT, Formats.encode((output) -> {
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
		return Block.decode(data, 0, Block.Type.SEGMENT)
			.flatMap((block) -> Formats.decode(block.body(), SegmentHeader::read));
	}

	private static SegmentHeader read(DataInputStream input) throws IOException {
		int version = input.readInt();
		if (version != Formats.VERSION) {
			throw new IOException("Unknown version " + version);
		}
		return new SegmentHeader(Formats.readId(input), input.readLong(), new LogState(input.readLong(),
				Formats.readHardState(input), new SnapshotRef(input.readLong(), input.readLong()), input.readLong()));
	}

}
