package org.redwingramp.node.http;

/**
 * Limits the memory used by the bodies of requests or responses that are in progress.
 * Once all bodies together use up the shared limit, only small ones may grow further, so
 * that a few large ones don't keep out everything else. They may be the smaller the more
 * of the total limit is in use, so that many of them together don't exceed it either.
 * Invariants: no more than the total limit is reserved; each reserved byte is released
 * once. Not thread safe; it is confined to the event loop's thread.
 */
public final class BodyMemoryLimit {

	/**
	 * Larger responses fail, since a response is buffered in memory until it is complete.
	 */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	/** Responses to the router's own calls consist of a few lines. */
	private static final int MAX_CALL_RESPONSE_BYTES = 64 * 1024;

	/** A quarter of the initial heap of an entry instance in production. */
	private static final long MAX_SHARED_RESPONSE_BYTES = 24L * 1024 * 1024;

	private static final long MAX_TOTAL_RESPONSE_BYTES = 32L * 1024 * 1024;

	private static final long MAX_SHARED_CALL_RESPONSE_BYTES = 4L * 1024 * 1024;

	private static final long MAX_TOTAL_CALL_RESPONSE_BYTES = 6L * 1024 * 1024;

	/** Typical responses in production have a few kilobytes. */
	private static final int SMALL_RESPONSE_BYTES = 256 * 1024;

	/** Share of the heap that the bodies of requests may use. */
	private static final double REQUEST_HEAP_SHARE = 0.45;

	/** What small requests may use beyond that, as a fraction of it. */
	private static final double SMALL_REQUESTS_FRACTION = 0.125;

	private static final int SMALL_REQUEST_BYTES = 64 * 1024;

	private final long maxBodyBytes;

	private final long maxSharedBytes;

	private final long maxTotalBytes;

	private final long smallBodyBytes;

	private long reserved;

	private long refused;

	private BodyMemoryLimit(long maxBodyBytes, long maxSharedBytes, long maxTotalBytes, long smallBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
		this.maxSharedBytes = maxSharedBytes;
		this.maxTotalBytes = maxTotalBytes;
		this.smallBodyBytes = smallBodyBytes;
	}

	/**
	 * Creates the limit for responses that are forwarded to callers.
	 * @return the memory limit
	 */
	public static BodyMemoryLimit forTargetResponses() {
		return new BodyMemoryLimit(MAX_RESPONSE_BYTES, MAX_SHARED_RESPONSE_BYTES, MAX_TOTAL_RESPONSE_BYTES,
				SMALL_RESPONSE_BYTES);
	}

	/**
	 * Creates the limit for responses to calls that this process makes itself.
	 * @return the memory limit
	 */
	public static BodyMemoryLimit forInternalCalls() {
		return new BodyMemoryLimit(MAX_CALL_RESPONSE_BYTES, MAX_SHARED_CALL_RESPONSE_BYTES,
				MAX_TOTAL_CALL_RESPONSE_BYTES, MAX_CALL_RESPONSE_BYTES);
	}

	/**
	 * Creates the limit for requests that fits the heap of this process.
	 * @return the memory limit
	 */
	public static BodyMemoryLimit forRequests() {
		return forRequests((long) (Runtime.getRuntime().maxMemory() * REQUEST_HEAP_SHARE));
	}

	/**
	 * Creates a limit for requests. The size of a single body is limited by the
	 * configuration.
	 * @param maxBytes the number of bytes for all bodies together, apart from an eighth
	 * more for small ones
	 * @return the memory limit
	 */
	public static BodyMemoryLimit forRequests(long maxBytes) {
		return new BodyMemoryLimit(Long.MAX_VALUE, maxBytes, (long) (maxBytes * (1 + SMALL_REQUESTS_FRACTION)),
				SMALL_REQUEST_BYTES);
	}

	/**
	 * Returns how much memory is reserved at present.
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

	// Reserves memory for the next bytes of a body whose earlier bytes are reserved
	// already. Returns false, without a reservation, if a limit would be exceeded.
	boolean reserve(long reservedBefore, long additional) {
		long size = reservedBefore + additional;
		long total = this.reserved + additional;
		long maxSmall = Math.min(this.smallBodyBytes, this.maxTotalBytes - total);
		if (size > this.maxBodyBytes || (total > this.maxSharedBytes && size > maxSmall)) {
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
