package org.redwingramp.core.consensus;

/**
 * Decides when the log of a replica is to be compacted: after a number of entries, or
 * earlier after a number of bytes, so that neither many nor large entries exhaust the
 * memory. Not thread safe.
 */
public final class CompactionSchedule {

	/**
	 * Size of applied commands after which a compaction is due, however few they are. A
	 * replica keeps about this much besides its state.
	 */
	public static final long MAX_BYTES = 8L * 1024 * 1024;

	private final long maxEntries;

	private long entries;

	private long bytes;

	/**
	 * Creates a schedule for a log that was just compacted.
	 * @param maxEntries the number of entries after which a compaction is due
	 */
	public CompactionSchedule(long maxEntries) {
		this.maxEntries = maxEntries;
	}

	/**
	 * Counts an entry that was applied.
	 * @param entry the entry
	 */
	public void applied(LogEntry entry) {
		this.entries++;
		this.bytes += entry.payload().length;
	}

	/**
	 * Returns whether the log is to be compacted.
	 * @return whether enough was applied since the last compaction
	 */
	public boolean due() {
		return this.entries >= this.maxEntries || this.bytes >= MAX_BYTES;
	}

	/**
	 * Begins anew after a compaction was started or a snapshot was installed.
	 */
	public void restart() {
		this.entries = 0;
		this.bytes = 0;
	}

}
