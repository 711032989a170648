package org.redwingramp.storage.internal;

import java.util.Optional;

/**
 * The position up to which the log is known to be synced. Recovery uses it to distinguish
 * a torn tail, which was never acknowledged, from damage to acknowledged batches. The
 * mark is overwritten in place after each sync of the log, usually without being flushed
 * itself, so after a power loss it may be behind the log but is never ahead of it. It
 * fits in one disk sector, so a write to it is never torn. Immutable and thread safe.
 *
 * @param segment the number of the last segment
 * @param offset the end offset of the last synced batch in that segment, in bytes
 */
record SyncMark(long segment, long offset) {

	/** The maximum size of the file, one disk sector. */
	static final int MAX_BYTES = 512;

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
