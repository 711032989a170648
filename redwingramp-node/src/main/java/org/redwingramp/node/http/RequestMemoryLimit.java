package org.redwingramp.node.http;

/**
 * Limits the memory used by the bodies of requests that are being received or handled.
 * Small bodies are always accepted, so that a few large uploads don't keep out everything
 * else. Invariant: each reserved byte is released once. Not thread safe; confined to the
 * event loop's thread.
 */
public final class RequestMemoryLimit {

	/** Share of the heap that request bodies may use. */
	private static final double HEAP_SHARE = 0.45;

	/** A body up to this size is accepted even if larger ones use up the limit. */
	private static final int UNSHARED_BODY_BYTES = 64 * 1024;

	private final long maxBytes;

	private long reserved;

	private long refused;

	/**
	 * Creates a limit.
	 * @param maxBytes the number of bytes for all bodies together
	 */
	public RequestMemoryLimit(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates the limit that fits the heap of this process.
	 * @return the limit
	 */
	public static RequestMemoryLimit ofHeap() {
		return new RequestMemoryLimit((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
	}

	/**
	 * Returns how much memory is in use.
	 * @return the number of bytes
	 */
	public long reservedBytes() {
		return this.reserved;
	}

	/**
	 * Returns how many bodies were refused so far.
	 * @return the number of bodies
	 */
	public long refusedBodies() {
		return this.refused;
	}

	// Reserves memory for further bytes of a body. Returns false, without a reservation,
	// if the limit would be exceeded.
	boolean reserve(long reservedBefore, long additional) {
		boolean small = reservedBefore + additional <= UNSHARED_BODY_BYTES;
		if (!small && this.reserved + additional > this.maxBytes) {
			this.refused++;
			return false;
		}
		this.reserved += additional;
		return true;
	}

	void release(long bytes) {
		this.reserved -= bytes;
	}

}
