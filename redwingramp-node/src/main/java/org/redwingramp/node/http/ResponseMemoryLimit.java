package org.redwingramp.node.http;

/**
 * Limits the memory used by responses of targets that are still being received. Each
 * response has a maximum size. Once all responses together use up the shared limit, only
 * small ones may grow further. Invariant: each reserved byte is released. Not thread
 * safe; it is confined to the event loop's thread.
 */
public final class ResponseMemoryLimit {

	/**
	 * Larger responses fail, since a response is buffered in memory until it is complete.
	 */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	/** Responses to the router's own calls consist of a few lines. */
	private static final int MAX_CALL_RESPONSE_BYTES = 64 * 1024;

	/** A quarter of the heap of an entry instance in production. */
	private static final long MAX_SHARED_BYTES = 24L * 1024 * 1024;

	/**
	 * A response up to this size is accepted even if larger ones use up the shared limit.
	 * Typical responses in production have a few kilobytes.
	 */
	private static final int UNSHARED_RESPONSE_BYTES = 256 * 1024;

	private final int maxResponseBytes;

	private long reserved;

	private ResponseMemoryLimit(int maxResponseBytes) {
		this.maxResponseBytes = maxResponseBytes;
	}

	/**
	 * Creates the limit for responses that are forwarded to callers.
	 * @return the memory limit
	 */
	public static ResponseMemoryLimit forTargetResponses() {
		return new ResponseMemoryLimit(MAX_RESPONSE_BYTES);
	}

	/**
	 * Creates the limit for responses to calls that this process makes itself.
	 * @return the memory limit
	 */
	public static ResponseMemoryLimit forInternalCalls() {
		return new ResponseMemoryLimit(MAX_CALL_RESPONSE_BYTES);
	}

	/**
	 * Returns how much memory incomplete responses use at present.
	 * @return the number of bytes
	 */
	public long reservedBytes() {
		return this.reserved;
	}

	// Reserves memory for the next bytes of a response whose earlier bytes are reserved
	// already. Returns false, without a reservation, if a limit would be exceeded.
	boolean reserve(int reservedBefore, int additional) {
		long size = (long) reservedBefore + additional;
		boolean exceedsSharedLimit = size > UNSHARED_RESPONSE_BYTES && this.reserved + additional > MAX_SHARED_BYTES;
		if (size > this.maxResponseBytes || exceedsSharedLimit) {
			return false;
		}
		this.reserved += additional;
		return true;
	}

	void release(int bytes) {
		this.reserved -= bytes;
	}

}
