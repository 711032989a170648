package org.redwingramp.storage.internal;

import java.util.Optional;

/**
 * How far the log is known to be synced. The mark tells a torn tail, which was never
 * acknowledged, from damage to acknowledged batches. It is rewritten in place after each
 * sync without a sync of its own, so after a loss of power it may lie behind the log, but
 * never ahead. It fits in one disk sector, so it is never torn. Immutable and thread
 * safe.
 *
 * @param segment the number of the last segment
 * @param offset the end of the last synced batch in that segment
 */
record SyncMark(long segment, long offset) {

	/** The largest size that is read, in bytes. */
	static final int MAX_BYTES = 512;

	Block encode() {
		return new Block(Block.Type.MARK, Formats.encode((output) -> {
			output.writeLong(this.segment);
			output.writeLong(this.offset);
		}));
	}

	static Optional<SyncMark> decode(byte[] data) {
		return Block.decodeWhole(data, Block.Type.MARK)
			.flatMap((block) -> Formats.decode(block.body(),
					(input) -> new SyncMark(input.readLong(), input.readLong())));
	}

}
