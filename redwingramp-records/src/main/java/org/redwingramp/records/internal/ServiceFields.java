package org.redwingramp.records.internal;

import java.util.OptionalLong;

import org.redwingramp.core.model.KeySource;

/**
 * Reads the service fields that have the same bounds and defaults in both schema
 * versions. Stateless and thread safe.
 */
final class ServiceFields {

	static final long MAX_DEADLINE_MILLIS = 600_000;

	static final int MAX_ROUTES = 64;

	private static final int DEFAULT_SLICES = 256;

	private static final int MAX_SLICES = 65_536;

	private static final int MAX_SLOTS = 1024;

	private static final int MAX_CONNECTIONS = 65_535;

	private static final int DEFAULT_QUEUE_LIMIT = 64;

	private static final int MAX_QUEUE_LIMIT = 100_000;

	private static final long DEFAULT_DEADLINE_MILLIS = 2_000;

	private static final long DEFAULT_MAX_DEADLINE_MILLIS = 10_000;

	private static final long DEFAULT_RETENTION_SECONDS = 86_400;

	private static final long MAX_RETENTION_SECONDS = 604_800;

	private static final int MAX_PATH_SEGMENT_INDEX = 15;

	private static final long MILLIS_PER_SECOND = 1000;

	private ServiceFields() {
	}

	/**
	 * Reads which part of a request contains its key.
	 * @param table the table that contains the fields
	 * @param headerField the name of the field that holds the name of a header
	 * @param segmentField the name of the field that holds the index of a path segment
	 * @return the source of the key, or {@link KeySource#NONE} if neither field has a
	 * valid value
	 */
	static KeySource keySource(TableReader table, String headerField, String segmentField) {
		boolean bothPresent = table.has(headerField) && table.has(segmentField);
		if (bothPresent) {
			table.addFinding(segmentField,
					"set together with " + headerField + "; a request has only one key, so set only one of the two");
		}
		OptionalLong segment = table.optionalNumber(segmentField, 0, MAX_PATH_SEGMENT_INDEX);
		return table.optionalText(headerField, TextRule.HEADER)
			.map(KeySource::header)
			.orElseGet(() -> segment.isPresent() ? KeySource.path((int) segment.getAsLong()) : KeySource.NONE);
	}

	/**
	 * Reads the number of slices. A service without a key has one slice.
	 * @param table the table of the service
	 * @param keyed whether the record configures a key
	 * @return the number of slices
	 */
	static int slices(TableReader table, boolean keyed) {
		if (!keyed && table.has("slices")) {
			table.addFinding("slices",
					"set for a service without a key; slices partition the keys, so configure the key or"
							+ " omit slices");
			return 1;
		}
		return RecordReader.intOrDefault(table.optionalNumber("slices", 1, MAX_SLICES), keyed ? DEFAULT_SLICES : 1);
	}

	/**
	 * Reads the limits on the load of targets, on waiting requests and on deadlines.
	 * @param table the table that contains the limits
	 * @return the limits
	 */
	static Limits limits(TableReader table) {
		int slots = (int) table.number("slots", 1, MAX_SLOTS);
		int connections = (int) table.number("connections", 1, MAX_CONNECTIONS);
		int queueLimit = RecordReader.intOrDefault(table.optionalNumber("queue_limit", 0, MAX_QUEUE_LIMIT),
				DEFAULT_QUEUE_LIMIT);
		long defaultDeadline = table.optionalNumber("default_deadline_ms", 1, MAX_DEADLINE_MILLIS)
			.orElse(DEFAULT_DEADLINE_MILLIS);
		long maxDeadline = table.optionalNumber("max_deadline_ms", 1, MAX_DEADLINE_MILLIS)
			.orElse(DEFAULT_MAX_DEADLINE_MILLIS);
		if (table.valid("slots", "connections") && connections < slots) {
			table.addFinding("connections", "found " + connections + " connections for " + slots
					+ " slots; each running request needs a connection, so at least " + slots + " are required");
		}
		if (table.valid("default_deadline_ms", "max_deadline_ms") && defaultDeadline > maxDeadline) {
			table.addFinding("default_deadline_ms",
					"found " + defaultDeadline + "; allowed is at most max_deadline_ms, which is " + maxDeadline);
		}
		return new Limits(slots, connections, queueLimit, defaultDeadline, maxDeadline);
	}

	/**
	 * Reads the retention time of request identities.
	 * @param table the table that contains the field
	 * @param field the name of the field
	 * @param maxDeadlineMillis the maximum deadline, which the retention time must not be
	 * shorter than
	 * @return the retention time in seconds
	 */
	static long retentionSeconds(TableReader table, String field, long maxDeadlineMillis) {
		long seconds = table.optionalNumber(field, 1, MAX_RETENTION_SECONDS).orElse(DEFAULT_RETENTION_SECONDS);
		if (table.valid(field) && seconds * MILLIS_PER_SECOND < maxDeadlineMillis) {
			table.addFinding(field,
					"found " + seconds
							+ " s; the retention time must not be shorter than the maximum deadline, which is "
							+ maxDeadlineMillis + " ms");
		}
		return seconds;
	}

	record Limits(int slots, int connections, int queueLimit, long defaultDeadlineMillis, long maxDeadlineMillis) {
	}

}
