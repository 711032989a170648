package org.redwingramp.storage.internal;

/**
 * Limits on the sizes of stored files. They bound the memory that is allocated when a
 * damaged file is read. Immutable and thread safe.
 *
 * @param segmentRollBytes the size in bytes beyond which the next batch starts a new
 * segment
 * @param maxBatchBytes the maximum size of an encoded batch in bytes, without its
 * snapshot
 * @param maxSnapshotBytes the maximum size of an encoded snapshot in bytes
 */
public record StoreLimits(int segmentRollBytes, int maxBatchBytes, int maxSnapshotBytes) {

	private static final int MEBIBYTE = 1024 * 1024;

	/** The limits used in production. */
	public static final StoreLimits DEFAULT = new StoreLimits(16 * MEBIBYTE, 64 * MEBIBYTE, 512 * MEBIBYTE);

	/**
	 * Returns the maximum size of a segment.
	 * @return the size in bytes
	 */
	public long maxSegmentBytes() {
		return (long) this.segmentRollBytes + this.maxBatchBytes + Frame.OVERHEAD_BYTES;
	}

}
