package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A process with its own monotonic clock that can be paused, stopped and restarted. The
 * clock continues during a pause and across restarts. Not thread safe.
 */
class SimulatedProcess {

	/**
	 * Half of the tolerated clock drift in each direction, so that the rates of two
	 * clocks differ by at most the tolerated drift.
	 */
	private static final double MAX_RATE_ERROR = 0.005;

	private final String name;

	private final Simulation simulation;

	private final double rate;

	private final long offset;

	private final Deque<Runnable> backlog = new ArrayDeque<>();

	private boolean running = true;

	private boolean paused;

	private int incarnation;

	SimulatedProcess(String name, Simulation simulation) {
		this.name = name;
		this.simulation = simulation;
		double error = simulation.chance(0.5) ? 1 - 2 * simulation.random().nextInt(2)
				: 2 * simulation.random().nextDouble() - 1;
		this.rate = 1 + MAX_RATE_ERROR * error;
		this.offset = simulation.between(0, 1_000_000);
	}

	final String name() {
		return this.name;
	}

	final Simulation simulation() {
		return this.simulation;
	}

	final long clock() {
		return this.offset + (long) (this.simulation.now() * this.rate);
	}

	final boolean running() {
		return this.running;
	}

	final boolean paused() {
		return this.paused;
	}

	final boolean active() {
		return this.running && !this.paused;
	}

	final int incarnation() {
		return this.incarnation;
	}

	// Runs an action in this process: after the pause if it is paused, and not at all if
	// its current incarnation has ended by then.
	final void run(Runnable action) {
		int current = this.incarnation;
		if (this.running && this.paused) {
			this.backlog.add(() -> runInIncarnation(current, action));
		}
		else {
			runInIncarnation(current, action);
		}
	}

	final void runAfter(long nanos, Runnable action) {
		int current = this.incarnation;
		this.simulation.after(nanos, () -> {
			if (this.incarnation == current) {
				run(action);
			}
		});
	}

	final void pause() {
		this.paused = true;
	}

	final void resume() {
		this.paused = false;
		while (!this.backlog.isEmpty() && !this.paused) {
			this.backlog.remove().run();
		}
	}

	final void stop() {
		this.running = false;
		this.paused = false;
		this.backlog.clear();
		this.incarnation++;
		stopped();
	}

	final void start() {
		if (!this.running) {
			this.running = true;
			started();
		}
	}

	void stopped() {
	}

	void started() {
	}

	private void runInIncarnation(int expected, Runnable action) {
		if (this.running && this.incarnation == expected) {
			action.run();
		}
	}

}
