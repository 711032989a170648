package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the last log lines, the number of faults by kind and the violated invariants
 * of one round. Not thread safe.
 */
final class Trace {

	/** Enough to show the faults that led to a violation. */
	private static final int MAX_LINES = 40;

	private final Simulation simulation;

	private final Deque<String> lines = new ArrayDeque<>();

	private final Map<String, Long> faults = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	Trace(Simulation simulation) {
		this.simulation = simulation;
	}

	void log(String what) {
		this.lines.add(this.simulation.nowMillis() + " ms: " + what);
		if (this.lines.size() > MAX_LINES) {
			this.lines.remove();
		}
	}

	void fault(String kind, String detail) {
		fault(kind);
		log(kind + " " + detail);
	}

	void fault(String kind) {
		this.faults.merge(kind, 1L, Long::sum);
	}

	void violation(String what) {
		log("VIOLATION " + what);
		this.violations.add(what);
		this.simulation.stop();
	}

	Map<String, Long> faults() {
		return this.faults;
	}

	List<String> violations() {
		return List.copyOf(this.violations);
	}

	List<String> lines() {
		return List.copyOf(this.lines);
	}

}
