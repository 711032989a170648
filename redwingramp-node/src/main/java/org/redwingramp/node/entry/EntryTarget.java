package org.redwingramp.node.entry;

import java.util.concurrent.ThreadLocalRandom;

import org.redwingramp.core.dispatch.ColdPeriod;
import org.redwingramp.core.dispatch.SharedRateLimiter;
import org.redwingramp.core.dispatch.TargetAvailability;
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

	/**
	 * The part of a target's rate that entry instances share without a leader. Others may
	 * still use permits of the former leader or of the next one.
	 */
	private static final double RATE_SHARED_WITHOUT_LEADER = 0.5;

	private final TargetConnections connections;

	private final TargetTracker tracker;

	private SharedRateLimiter rateShare;

	private final TargetAvailability availability = new TargetAvailability();

	private final ColdPeriod coldPeriod;

	private ViewTarget view;

	private long nextPermitNanos;

	private int responses;

	private double expectedMillis;

	private double elapsedMillis;

	EntryTarget(ViewTarget view, TargetConnections connections, TargetTracker tracker, long now) {
		this.connections = connections;
		this.tracker = tracker;
		this.coldPeriod = new ColdPeriod(now);
		this.nextPermitNanos = now;
		this.view = view;
	}

	// Returns whether the target was cold before or is cold now.
	boolean update(ViewTarget next, long term, long now) {
		boolean wasCold = cold(now);
		boolean returns = next.usable() && !this.view.usable();
		this.view = next;
		this.coldPeriod.viewed(next.coldLeftMillis(), next.coldAssumed(), next.coldRecorded(), returns, term, now);
		return wasCold || cold(now);
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

	TargetAvailability availability() {
		return this.availability;
	}

	boolean cold(long now) {
		return this.coldPeriod.cold(now);
	}

	ColdPeriod coldPeriod() {
		return this.coldPeriod;
	}

	// Returns whether one more request may be sent within this instance's share of the
	// target's rate, while no leader shares the rate.
	boolean tryAcquireShare(double perSecond, int instances, long now) {
		if (this.rateShare == null) {
			this.rateShare = new SharedRateLimiter(now, ThreadLocalRandom.current().nextDouble());
		}
		return this.rateShare.tryAcquire(perSecond * RATE_SHARED_WITHOUT_LEADER, instances, now);
	}

	// Ends the use of the share, so that no tokens are saved up for the next time, and
	// records when the leader has the next permit.
	void rateSharedByLeader(long nextPermitMillis, long now) {
		this.rateShare = null;
		this.nextPermitNanos = now + nextPermitMillis * 1_000_000;
	}

	// Returns the time until the leader has a permit, as far as this instance knows. It
	// can only become longer as others ask for permits.
	long nextPermitMillis(long now) {
		return Math.max(0, (this.nextPermitNanos - now) / 1_000_000);
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
