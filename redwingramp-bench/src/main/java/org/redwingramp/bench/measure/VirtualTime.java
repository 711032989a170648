package org.redwingramp.bench.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler. Events run in the order of their virtual time in
 * nanoseconds; events at the same time run in the order in which they were scheduled, so
 * that a run is determined by its seed. Not thread safe.
 */
final class VirtualTime {

	static final long MICROS = 1_000;

	static final long MILLIS = 1_000 * MICROS;

	static final long SECONDS = 1_000 * MILLIS;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void after(long delay, Runnable action) {
		this.events.add(new Event(this.now + Math.max(0, delay), this.sequence++, action));
	}

	void at(long time, Runnable action) {
		after(time - this.now, action);
	}

	void every(long period, Runnable action) {
		after(period, () -> {
			action.run();
			every(period, action);
		});
	}

	/**
	 * Runs all events up to a time.
	 * @param end the virtual time in nanoseconds at which the run stops
	 */
	void run(long end) {
		while (!this.events.isEmpty() && this.events.peek().time() <= end) {
			Event event = this.events.poll();
			this.now = event.time();
			event.action().run();
		}
		this.now = end;
	}

	private record Event(long time, long sequence, Runnable action) {
	}

}
