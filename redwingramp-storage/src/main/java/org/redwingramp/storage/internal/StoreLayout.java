package org.redwingramp.storage.internal;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;

/**
 * The names of the files in a data folder. Immutable and thread safe.
 *
 * @param folder the data folder
 */
record StoreLayout(Path folder) {

	static final String LOCK = "lock";

	static final String IDENTITY = "identity";

	static final String MARK = "synced";

	static final String TEMPORARY = ".tmp";

	static final String DAMAGED = "damaged-";

	private static final String SEGMENT = "segment-";

	private static final String SEGMENT_SUFFIX = ".log";

	private static final String SNAPSHOT = "snapshot-";

	private static final String SNAPSHOT_SUFFIX = ".snap";

	private static final String PENDING_SUFFIX = ".pending";

	/** The digits of the largest number, so that names sort like numbers. */
	private static final int NUMBER_DIGITS = 19;

	Path lock() {
		return this.folder.resolve(LOCK);
	}

	Path identity() {
		return this.folder.resolve(IDENTITY);
	}

	Path mark() {
		return this.folder.resolve(MARK);
	}

	Path segment(long number) {
		return this.folder.resolve(name(SEGMENT, number, SEGMENT_SUFFIX));
	}

	Path snapshot(long index) {
		return this.folder.resolve(name(SNAPSHOT, index, SNAPSHOT_SUFFIX));
	}

	/**
	 * Returns the name of a snapshot that no synced batch refers to yet.
	 * @param index the snapshot's index
	 * @return the path
	 */
	Path pendingSnapshot(long index) {
		return this.folder.resolve(name(SNAPSHOT, index, PENDING_SUFFIX));
	}

	static List<Long> segments(List<String> names) {
		return numbers(names, SEGMENT, SEGMENT_SUFFIX);
	}

	static List<Long> snapshots(List<String> names) {
		return numbers(names, SNAPSHOT, SNAPSHOT_SUFFIX);
	}

	static List<Long> pendingSnapshots(List<String> names) {
		return numbers(names, SNAPSHOT, PENDING_SUFFIX);
	}

	private static List<Long> numbers(List<String> names, String prefix, String suffix) {
		return names.stream()
			.map((name) -> number(name, prefix, suffix))
			.filter(OptionalLong::isPresent)
			.map(OptionalLong::getAsLong)
			.sorted()
			.toList();
	}

	private static OptionalLong number(String name, String prefix, String suffix) {
		if (!name.startsWith(prefix) || !name.endsWith(suffix)) {
			return OptionalLong.empty();
		}
		String digits = name.substring(prefix.length(), name.length() - suffix.length());
		return digits.matches("[0-9]{" + NUMBER_DIGITS + "}") ? OptionalLong.of(Long.parseLong(digits))
				: OptionalLong.empty();
	}

	private static String name(String prefix, long number, String suffix) {
		String digits = Long.toString(number);
		return prefix + "0".repeat(NUMBER_DIGITS - digits.length()) + digits + suffix;
	}

}
