package org.redwingramp.node.entry;

import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;

import org.redwingramp.core.dispatch.ColdRateLimiter;
import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.node.http.TargetConnections;

/**
 * The state that an entry instance keeps for one target: its entry in the current view,
 * connections, load estimate, warm-up limit and the usage since the last report. A target
 * is cold while it is warming up after its start. Not thread safe; confined to the event
 * loop thread.
 */
final class EntryTarget {

	private final TargetConnections connections;

	private final TargetTracker tracker;

	private ColdRateLimiter coldRateLimiter;

	private ViewTarget view;

	private long coldUntilNanos;

	private OptionalDouble limitPerSecond = OptionalDouble.empty();

	private int responses;

	private double expectedMillis;

	private double elapsedMillis;

	EntryTarget(ViewTarget view, TargetConnections connections, TargetTracker tracker, long now) {
		this.connections = connections;
		this.tracker = tracker;
		this.coldUntilNanos = now;
		update(view, now);
	}

	void update(ViewTarget next, long now) {
		this.view = next;
		setColdUntil(now + next.coldLeftMillis() * 1_000_000, now);
	}

	ViewTarget view() {
		return this.view;
	}

	String name() {
		return this.view.name();
	}

	TargetConnections connections() {
		return this.connections;
	}

	TargetTracker tracker() {
		return this.tracker;
	}

	boolean cold(long now) {
		return now < this.coldUntilNanos;
	}

	void extendColdTime(long millis, long now) {
		setColdUntil(Math.max(this.coldUntilNanos, now + millis * 1_000_000), now);
	}

	private void setColdUntil(long nanos, long now) {
		if (this.coldRateLimiter == null || !cold(now)) {
			this.coldRateLimiter = new ColdRateLimiter(now, ThreadLocalRandom.current().nextDouble());
		}
		this.coldUntilNanos = nanos;
	}

	// Records the rate limit stated in a response and returns whether it has changed.
	boolean limitStated(OptionalDouble perSecond) {
		boolean changed = !this.limitPerSecond.equals(perSecond);
		this.limitPerSecond = perSecond;
		return changed;
	}

	// Returns whether one more request may be sent under the rate limit of a cold
	// target.
	boolean tryAcquireColdToken(double perSecond, int instances, long now) {
		return !cold(now) || this.coldRateLimiter.tryAcquire(perSecond, instances, now);
	}

	void recordResponse(double expected, double elapsed) {
		this.responses++;
		this.expectedMillis += expected;
		this.elapsedMillis += elapsed;
	}

	// Returns the usage since the previous call and resets it.
	EntryReport.TargetUse drainUsage() {
		EntryReport.TargetUse usage = new EntryReport.TargetUse(name(), this.responses, this.expectedMillis,
				this.elapsedMillis);
		this.responses = 0;
		this.expectedMillis = 0;
		this.elapsedMillis = 0;
		return usage;
	}

}
