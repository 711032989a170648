package org.redwingramp.storage.internal;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;

/**
 * The paths of the files in a data folder. Immutable and thread safe.
 *
 * @param folder the data folder
 */
record StoreLayout(Path folder) {

	static final String LOCK = "lock";

	static final String IDENTITY = "identity";

	static final String SYNC_MARK = "synced";

	static final String RECENT_SYNC_MARK = "synced-recent";

	static final String TEMPORARY_SUFFIX = ".tmp";

	static final String DAMAGED_PREFIX = "damaged-";

	private static final String SEGMENT_PREFIX = "segment-";

	private static final String SEGMENT_SUFFIX = ".log";

	private static final String SNAPSHOT_PREFIX = "snapshot-";

	private static final String SNAPSHOT_SUFFIX = ".snap";

	private static final String PENDING_SNAPSHOT_SUFFIX = ".pending";

	/** The number of digits of {@link Long#MAX_VALUE}; padded names sort by number. */
	private static final int NUMBER_DIGITS = 19;

	Path lock() {
		return this.folder.resolve(LOCK);
	}

	Path identity() {
		return this.folder.resolve(IDENTITY);
	}

	Path syncMark() {
		return this.folder.resolve(SYNC_MARK);
	}

	Path recentSyncMark() {
		return this.folder.resolve(RECENT_SYNC_MARK);
	}

	Path segment(long number) {
		return this.folder.resolve(fileName(SEGMENT_PREFIX, number, SEGMENT_SUFFIX));
	}

	Path snapshot(long index) {
		return this.folder.resolve(fileName(SNAPSHOT_PREFIX, index, SNAPSHOT_SUFFIX));
	}

	/**
	 * Returns the path of a snapshot that no synced batch refers to yet.
	 * @param index the snapshot's index
	 * @return the path
	 */
	Path pendingSnapshot(long index) {
		return this.folder.resolve(fileName(SNAPSHOT_PREFIX, index, PENDING_SNAPSHOT_SUFFIX));
	}

	static List<Long> segmentNumbers(List<String> names) {
		return parseNumbers(names, SEGMENT_PREFIX, SEGMENT_SUFFIX);
	}

	static List<Long> snapshotIndices(List<String> names) {
		return parseNumbers(names, SNAPSHOT_PREFIX, SNAPSHOT_SUFFIX);
	}

	static List<Long> pendingSnapshotIndices(List<String> names) {
		return parseNumbers(names, SNAPSHOT_PREFIX, PENDING_SNAPSHOT_SUFFIX);
	}

	private static List<Long> parseNumbers(List<String> names, String prefix, String suffix) {
		return names.stream()
			.map((name) -> parseNumber(name, prefix, suffix))
			.filter(OptionalLong::isPresent)
			.map(OptionalLong::getAsLong)
			.sorted()
			.toList();
	}

	private static OptionalLong parseNumber(String name, String prefix, String suffix) {
		if (!name.startsWith(prefix) || !name.endsWith(suffix)) {
			return OptionalLong.empty();
		}
		String digits = name.substring(prefix.length(), name.length() - suffix.length());
		return digits.matches("[0-9]{" + NUMBER_DIGITS + "}") ? OptionalLong.of(Long.parseLong(digits))
				: OptionalLong.empty();
	}

	private static String fileName(String prefix, long number, String suffix) {
		String digits = Long.toString(number);
		return prefix + "0".repeat(NUMBER_DIGITS - digits.length()) + digits + suffix;
	}

}
