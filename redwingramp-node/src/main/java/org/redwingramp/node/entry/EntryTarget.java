package org.redwingramp.node.entry;

import java.util.concurrent.ThreadLocalRandom;

import org.redwingramp.core.dispatch.ColdRateLimiter;
import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.node.http.TargetConnections;

/**
 * A target as an entry instance sees it. Not thread safe; it belongs to the loop's
 * thread.
 */
final class EntryTarget {

	private final TargetConnections connections;

	private final TargetTracker tracker;

	private ColdRateLimiter coldRateLimiter;

	private ViewTarget view;

	private long coldUntilNanos;

	private int answers;

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
		coldUntil(now + next.coldLeftMillis() * 1_000_000, now);
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

	void coldFor(long millis, long now) {
		coldUntil(Math.max(this.coldUntilNanos, now + millis * 1_000_000), now);
	}

	private void coldUntil(long nanos, long now) {
		if (this.coldRateLimiter == null || !cold(now)) {
			this.coldRateLimiter = new ColdRateLimiter(now, ThreadLocalRandom.current().nextDouble());
		}
		this.coldUntilNanos = nanos;
	}

	boolean takeColdToken(double perSecond, int instances, long now) {
		return !cold(now) || this.coldRateLimiter.tryAcquire(perSecond, instances, now);
	}

	void answered(double expected, double elapsed) {
		this.answers++;
		this.expectedMillis += expected;
		this.elapsedMillis += elapsed;
	}

	EntryReport.TargetUse takeUse() {
		EntryReport.TargetUse use = new EntryReport.TargetUse(name(), this.answers, this.expectedMillis,
				this.elapsedMillis);
		this.answers = 0;
		this.expectedMillis = 0;
		this.elapsedMillis = 0;
		return use;
	}

}
