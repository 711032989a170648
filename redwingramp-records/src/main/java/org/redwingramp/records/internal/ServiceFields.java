package org.redwingramp.records.internal;

import java.util.OptionalLong;

import org.redwingramp.core.model.KeySource;

/**
 * The fields of services that both schema versions have, with the same names, bounds and
 * defaults. Stateless and thread safe.
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

	private static final int MAX_PATH_SEGMENT = 15;

	private static final long MILLIS_PER_SECOND = 1000;

	private ServiceFields() {
	}

	static KeySource keySource(TableReader table, String headerField, String segmentField) {
		boolean both = table.has(headerField) && table.has(segmentField);
		if (both) {
			table.refuse(segmentField, "found next to " + headerField
					+ "; the key of a request stands in one place, so allowed is one" + " of the two");
		}
		OptionalLong segment = table.optionalNumber(segmentField, 0, MAX_PATH_SEGMENT);
		return table.optionalText(headerField, TextRule.HEADER)
			.map(KeySource::header)
			.orElseGet(() -> segment.isPresent() ? KeySource.path((int) segment.getAsLong()) : KeySource.NONE);
	}

	/**
	 * Reads the number of slices. A service that isn't divided by key has one slice.
	 * @param table the service's table
	 * @param keyed whether the record names a place of the key
	 * @return the number of slices
	 */
	static int slices(TableReader table, boolean keyed) {
		if (!keyed && table.has("slices")) {
			table.refuse("slices", "found for a service without a key; slices divide keys, so name the place of the"
					+ " key or leave slices out");
			return 1;
		}
		return RecordReader.toInt(table.optionalNumber("slices", 1, MAX_SLICES), keyed ? DEFAULT_SLICES : 1);
	}

	/**
	 * Reads the limits on targets, waiting requests and deadlines.
	 * @param table the table that holds them
	 * @return the limits
	 */
	static Limits limits(TableReader table) {
		int slots = (int) table.number("slots", 1, MAX_SLOTS);
		int connections = (int) table.number("connections", 1, MAX_CONNECTIONS);
		int queueLimit = RecordReader.toInt(table.optionalNumber("queue_limit", 0, MAX_QUEUE_LIMIT),
				DEFAULT_QUEUE_LIMIT);
		long defaultDeadline = table.optionalNumber("default_deadline_ms", 1, MAX_DEADLINE_MILLIS)
			.orElse(DEFAULT_DEADLINE_MILLIS);
		long maxDeadline = table.optionalNumber("max_deadline_ms", 1, MAX_DEADLINE_MILLIS)
			.orElse(DEFAULT_MAX_DEADLINE_MILLIS);
		if (table.valid("slots", "connections") && connections < slots) {
			table.refuse("connections", "found " + connections + " connections for " + slots
					+ " slots; each running request needs a connection, so allowed are " + slots + " or more");
		}
		if (table.valid("default_deadline_ms", "max_deadline_ms") && defaultDeadline > maxDeadline) {
			table.refuse("default_deadline_ms",
					"found " + defaultDeadline + "; allowed is at most max_deadline_ms, which is " + maxDeadline);
		}
		return new Limits(slots, connections, queueLimit, defaultDeadline, maxDeadline);
	}

	/**
	 * Reads how long the identities of requests are kept.
	 * @param table the table that holds the field
	 * @param field the field's name
	 * @param maxDeadlineMillis the longest deadline, which the identities must outlive
	 * @return the time in seconds
	 */
	static long retention(TableReader table, String field, long maxDeadlineMillis) {
		long seconds = table.optionalNumber(field, 1, MAX_RETENTION_SECONDS).orElse(DEFAULT_RETENTION_SECONDS);
		if (table.valid(field) && seconds * MILLIS_PER_SECOND < maxDeadlineMillis) {
			table.refuse(field, "found " + seconds + " s; a request's identity must outlive the longest deadline, "
					+ maxDeadlineMillis + " ms");
		}
		return seconds;
	}

	record Limits(int slots, int connections, int queueLimit, long defaultDeadlineMillis, long maxDeadlineMillis) {
	}

}
