package org.redwingramp.storage.internal;

import java.util.Comparator;
import java.util.Optional;

/**
 * The position up to which the log is known to be synced. Recovery uses it to distinguish
 * a torn tail, which was never acknowledged, from damage to acknowledged batches. The
 * mark is stored twice. The durable mark is replaced atomically, when a segment ends and
 * when the store is closed. The recent mark is overwritten in place after each sync of
 * the log, without being flushed itself, so a power loss may tear it; then it is ignored.
 * Neither is ever ahead of the log. Immutable and thread safe.
 *
 * @param segment the number of the last segment
 * @param offset the end offset of the last synced batch in that segment, in bytes
 */
record SyncMark(long segment, long offset) implements Comparable<SyncMark> {

	private static final Comparator<SyncMark> BY_POSITION = Comparator.comparingLong(SyncMark::segment)
		.thenComparingLong(SyncMark::offset);

	/** The maximum size of the file. */
	static final int MAX_BYTES = 512;

	@Override
	public int compareTo(SyncMark other) {
		return BY_POSITION.compare(this, other);
	}

	Frame encode() {
		return new Frame(Frame.Type.MARK, Formats.encode((output) -> {
			output.writeLong(this.segment);
			output.writeLong(this.offset);
		}));
	}

	static Optional<SyncMark> decode(byte[] data) {
		return Frame.decodeSingle(data, Frame.Type.MARK)
			.flatMap((frame) -> Formats.decode(frame.payload(),
					(input) -> new SyncMark(input.readLong(), input.readLong())));
	}

}
