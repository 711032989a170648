package org.redwingramp.node.http;

/**
 * The memory that unfinished answers of targets take. Each has a largest size; once all
 * together take the shared part, only small ones go on. Invariant: each byte taken is
 * given back. Not thread safe; it belongs to the loop's thread.
 */
public final class AnswerMemory {

	/** Larger answers are given up, since they are kept in memory until complete. */
	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	/** The answers to calls of ours have a few lines. */
	private static final int MAX_CALL_BYTES = 64 * 1024;

	/** A quarter of the heap of an entry instance on the users' platform. */
	private static final long SHARED_BYTES = 24L * 1024 * 1024;

	/**
	 * An answer of this size is taken even if larger ones use up the shared part. The
	 * users' answers have a few kilobytes.
	 */
	private static final int ALWAYS_BYTES = 256 * 1024;

	private final int maxAnswerBytes;

	private long held;

	private AnswerMemory(int maxAnswerBytes) {
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Creates the memory for answers that are passed on to callers.
	 * @return the memory
	 */
	public static AnswerMemory forAnswers() {
		return new AnswerMemory(MAX_ANSWER_BYTES);
	}

	/**
	 * Creates the memory for answers to calls of this process.
	 * @return the memory
	 */
	public static AnswerMemory forCalls() {
		return new AnswerMemory(MAX_CALL_BYTES);
	}

	/**
	 * Returns how much unfinished answers take now.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.held;
	}

	// Takes memory for the next bytes of an answer, some of which may be held already.
	boolean take(int already, int more) {
		long size = (long) already + more;
		boolean crowded = size > ALWAYS_BYTES && this.held + more > SHARED_BYTES;
		if (size > this.maxAnswerBytes || crowded) {
			return false;
		}
		this.held += more;
		return true;
	}

	void giveBack(int bytes) {
		this.held -= bytes;
	}

}
