package org.redwingramp.bench.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A process with its own monotonic clock that can be paused, stopped and started again.
 * The clock goes on during a pause and across restarts. Not thread safe.
 */
class SimulatedProcess {

	/** Half the bound each way, so that two clocks differ by at most the bound. */
	private static final double MAX_RATE_ERROR = 0.005;

	private final String name;

	private final Simulation simulation;

	private final double rate;

	private final long offset;

	private final Deque<Runnable> backlog = new ArrayDeque<>();

	private boolean running = true;

	private boolean paused;

	private int life;

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

	final int life() {
		return this.life;
	}

	// Runs something as this process, later if it is paused, and not at all if its
	// present run has ended by then.
	final void run(Runnable action) {
		int current = this.life;
		if (this.running && this.paused) {
			this.backlog.add(() -> runInLife(current, action));
		}
		else {
			runInLife(current, action);
		}
	}

	final void runAfter(long nanos, Runnable action) {
		int current = this.life;
		this.simulation.after(nanos, () -> {
			if (this.life == current) {
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
		this.life++;
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

	private void runInLife(int expected, Runnable action) {
		if (this.running && this.life == expected) {
			action.run();
		}
	}

}
