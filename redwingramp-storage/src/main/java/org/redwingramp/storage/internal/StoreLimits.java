package org.redwingramp.storage.internal;

/**
 * Limits on the size of stored files, in bytes. They bound what is read into memory from
 * a damaged file. Immutable and thread safe.
 *
 * @param segment the size at which a new segment is begun
 * @param frame the largest encoded batch without its snapshot
 * @param snapshot the largest encoded snapshot
 */
public record StoreLimits(int segment, int frame, int snapshot) {

	private static final int MEBIBYTE = 1024 * 1024;

	/** The limits used outside tests. */
	public static final StoreLimits DEFAULT = new StoreLimits(16 * MEBIBYTE, 64 * MEBIBYTE, 512 * MEBIBYTE);

	/**
	 * Returns the largest size that a segment can have.
	 * @return the size in bytes
	 */
	public long largestSegment() {
		return (long) this.segment + this.frame + Block.OVERHEAD;
	}

}
