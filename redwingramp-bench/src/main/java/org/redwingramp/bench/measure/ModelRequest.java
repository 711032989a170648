package org.redwingramp.bench.measure;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.model.RequestClass;

/**
 * One caller's request and its sends. Not thread safe.
 */
final class ModelRequest {

	final long arrival;

	final long deadline;

	final RequestClass requestClass;

	final int entry;

	final int key;

	final Set<Integer> tried = new HashSet<>();

	/** The sends that are waiting or running, with their targets. */
	final Map<Long, Integer> open = new LinkedHashMap<>();

	boolean done;

	ModelRequest(long arrival, long deadline, RequestClass requestClass, int entry, int key) {
		this.arrival = arrival;
		this.deadline = deadline;
		this.requestClass = requestClass;
		this.entry = entry;
		this.key = key;
	}

}
