package org.redwingramp.bench.measure;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.model.RequestClass;

/**
 * A caller's request and its sends to targets. Not thread safe.
 */
final class ModelRequest {

	final long arrivalNanos;

	final long deadlineNanos;

	final RequestClass requestClass;

	final int entry;

	final int key;

	final Set<Integer> triedTargets = new HashSet<>();

	/**
	 * The target of each send that is waiting or running, by the identifier of the send.
	 */
	final Map<Long, Integer> openSends = new LinkedHashMap<>();

	boolean ended;

	ModelRequest(long arrivalNanos, long deadlineNanos, RequestClass requestClass, int entry, int key) {
		this.arrivalNanos = arrivalNanos;
		this.deadlineNanos = deadlineNanos;
		this.requestClass = requestClass;
		this.entry = entry;
		this.key = key;
	}

}
