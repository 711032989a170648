package org.redwingramp.node.control;

import java.util.HashSet;
import java.util.Set;

import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;

/**
 * Counts unexpected failures in the work for single elements, and logs each element once.
 * Invariant: the number of lines is bounded until the next restart. Not thread safe;
 * confined to the event loop's thread.
 */
final class FailedWorkLog {

	private static final int MAX_LOGGED_ELEMENTS = 100;

	private final EventWriter events;

	private final Set<String> logged = new HashSet<>();

	FailedWorkLog(EventWriter events) {
		this.events = events;
	}

	void failed(String duty, String element, RuntimeException failure) {
		this.events.metrics().count("failed_work", duty);
		if (this.logged.size() < MAX_LOGGED_ELEMENTS && this.logged.add(duty + ' ' + element)) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", duty, "element", element, "failure", failure);
		}
	}

	// Logs each element again, for example in a new leadership.
	void restart() {
		this.logged.clear();
	}

}
