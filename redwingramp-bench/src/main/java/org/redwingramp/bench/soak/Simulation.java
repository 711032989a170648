package org.redwingramp.bench.soak;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulated real time and the queue of scheduled events. Events with the same time run in
 * the order in which they were scheduled, so the seed determines the run. Not thread
 * safe.
 */
final class Simulation {

	static final long MILLISECOND = 1_000_000L;

	private final PriorityQueue<Scheduled> queue = new PriorityQueue<>(
			Comparator.comparingLong(Scheduled::time).thenComparingLong(Scheduled::number));

	private final Random random;

	private Runnable afterEachEvent = () -> {
	};

	private long now;

	private long scheduled;

	private long events;

	private boolean stopped;

	Simulation(long seed) {
		this.random = new Random(seed);
	}

	// Sets the check that runs after each event.
	void afterEachEvent(Runnable check) {
		this.afterEachEvent = check;
	}

	long now() {
		return this.now;
	}

	long nowMillis() {
		return this.now / MILLISECOND;
	}

	long events() {
		return this.events;
	}

	Random random() {
		return this.random;
	}

	boolean chance(double probability) {
		return this.random.nextDouble() < probability;
	}

	// Returns a random number of nanoseconds between the two bounds, both inclusive.
	long between(long lowMillis, long highMillis) {
		return this.random.nextLong(lowMillis * MILLISECOND, highMillis * MILLISECOND + 1);
	}

	void after(long nanos, Runnable event) {
		this.queue.add(new Scheduled(this.now + nanos, ++this.scheduled, event));
	}

	void every(long millis, Runnable event) {
		after(millis * MILLISECOND, () -> {
			event.run();
			every(millis, event);
		});
	}

	void stop() {
		this.stopped = true;
	}

	boolean stopped() {
		return this.stopped;
	}

	void runUntil(long time) {
		while (!this.stopped && !this.queue.isEmpty() && this.queue.peek().time() <= time) {
			Scheduled next = this.queue.remove();
			this.now = next.time();
			this.events++;
			next.event().run();
			this.afterEachEvent.run();
		}
		this.now = Math.max(this.now, time);
	}

	private record Scheduled(long time, long number, Runnable event) {
	}

}
