package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseRenewal.GrantedRange;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.ownership.RangeLease;

/**
 * Grants, renews and releases ranges in the replies to the heartbeats of their owners.
 * Invariants: a range that is left out of a reply is left out of all later ones until it
 * has a new fence, and its keys are free only once a later heartbeat reports their
 * release or the lease has ended. Not thread safe.
 */
final class HeartbeatDelivery implements GrantDelivery {

	/**
	 * A target from which no heartbeat was received for this long is treated as
	 * unreachable. At least one heartbeat was lost by then.
	 */
	private static final long SILENT_AFTER_NANOS = 2_500_000_000L;

	/**
	 * Number of consecutive heartbeats without a granted range after which the range gets
	 * a higher fence. A target ignores ranges below a fence that it has seen without
	 * saying so; a lost reply has the same effect once.
	 */
	private static final int MAX_UNREPORTED_OFFERS = 4;

	/**
	 * Maximum number of ranges in one reply. Replies above 4 KiB are not accepted, and a
	 * range takes up to 45 bytes.
	 */
	private static final int MAX_RANGES = 80;

	/**
	 * Maximum delay of the reply to a heartbeat. Targets discard replies after one
	 * second.
	 */
	private static final long MAX_REPLY_DELAY_NANOS = 650_000_000L;

	/** Time from the reply that releases a range until its release is reported. */
	private static final long RELEASE_DURATION_NANOS = 150_000_000L;

	/** A release that is expected within this time is worth waiting for. */
	private static final long RELEASE_NEAR_NANOS = 450_000_000L;

	/** Maximum time for which a release waits until its receiver is ready. */
	private static final long MAX_RELEASE_DELAY_NANOS = 2_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FleetController controller;

	private final LeaseTable leases;

	private final FleetOutput output;

	private final long holdMillis;

	// Targets whose heartbeat waits for its reply, with the end of the wait.
	private final Map<Owner, Long> waitingTargets = new HashMap<>();

	HeartbeatDelivery(FleetController controller, LeaseTable leases, FleetOutput output, LeaseTiming timing) {
		this.controller = controller;
		this.leases = leases;
		this.output = output;
		this.holdMillis = timing.grantDurationNanos() / NANOS_PER_MILLI;
	}

	@Override
	public boolean reachable(TargetHealth health, long now) {
		return now - health.lastHeartbeatNanos() < SILENT_AFTER_NANOS;
	}

	@Override
	public void maintain(RangeLease lease, FleetTarget target, long now) {
		if (!lease.granted() || lease.releaseRequested()) {
			return;
		}
		if (!this.controller.mayKeepKeys(target)) {
			release(lease, target, now);
		}
		else if (lease.unreportedOffers() >= MAX_UNREPORTED_OFFERS) {
			this.controller.proposeHigherFence(lease);
		}
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, long now) {
		this.leases.requestRelease(lease, now);
	}

	/**
	 * Updates the leases of a target from the ranges that it reports.
	 * @param target the target
	 * @param report the ranges in its heartbeat
	 * @return whether the target has released a range
	 */
	boolean reported(FleetTarget target, KeyReport report) {
		List<RangeLease> released = leasesOf(target).stream()
			.filter((lease) -> this.leases.reported(lease, report))
			.toList();
		released.forEach((lease) -> this.output.decision("release", "service", lease.service(), "keys",
				FleetController.format(lease.range().keys()), "target", target.name(), "fence", lease.range().fence(),
				"answered", true));
		return !released.isEmpty();
	}

	/**
	 * Returns the ranges that a target is to hold, and records that they are granted. Its
	 * other ranges are released once it receives the reply.
	 * @param target the target
	 * @param now the monotonic time in nanoseconds
	 * @return the content of the reply
	 */
	LeaseRenewal renewal(FleetTarget target, long now) {
		List<GrantedRange> ranges = new ArrayList<>();
		for (RangeLease lease : leasesOf(target)) {
			if (!lease.granted() || this.controller.ownerChangePending(lease)) {
				continue;
			}
			if (!this.controller.mayKeepKeys(target) || (lease.releaseRequested() && isReceiverReady(lease, now))) {
				this.leases.releaseOffered(lease, now);
				this.controller.viewChanged();
			}
			else if (ranges.size() < MAX_RANGES) {
				add(ranges, new GrantedRange(lease.range().keys(), lease.range().fence(), lease.handover()));
				offer(lease, now);
			}
		}
		return new LeaseRenewal(ranges, this.holdMillis);
	}

	/**
	 * Returns whether the reply to a heartbeat should wait, because keys are about to be
	 * released for the target. Without that it would learn of them only at its next
	 * heartbeat.
	 * @param target the target
	 * @param receivedNanos when the heartbeat was received
	 * @param now the monotonic time in nanoseconds
	 * @return whether to wait
	 */
	boolean awaitsKeys(FleetTarget target, long receivedNanos, long now) {
		boolean waits = now - receivedNanos < MAX_REPLY_DELAY_NANOS
				&& this.controller.leasesPlannedFor(target.owner()).anyMatch((lease) -> isReleaseNear(lease, now));
		if (waits) {
			this.waitingTargets.put(target.owner(), receivedNanos + MAX_REPLY_DELAY_NANOS);
		}
		else {
			this.waitingTargets.remove(target.owner());
		}
		return waits;
	}

	private boolean isReleaseNear(RangeLease lease, long now) {
		if (lease.releaseRequested()) {
			return this.controller.health(lease.range().owner(), now)
				.map((health) -> health.nextHeartbeatInNanos(now))
				.filter((nanos) -> Math.abs(nanos) < RELEASE_NEAR_NANOS)
				.isPresent();
		}
		return lease.phase() == RangeLease.Phase.RELEASED || (lease.phase() == RangeLease.Phase.RELEASING
				&& now - lease.ownerlessSinceNanos() < RELEASE_NEAR_NANOS);
	}

	// Returns whether the receiver of the range will soon learn of it if it is released
	// now. Its heartbeats may never come at a suitable time, so the wait is limited.
	private boolean isReceiverReady(RangeLease lease, long now) {
		Optional<Owner> receiver = this.controller.plannedReceiver(lease);
		if (receiver.isEmpty() || now - lease.releaseRequestedNanos() > MAX_RELEASE_DELAY_NANOS) {
			return true;
		}
		long waitsUntil = this.waitingTargets.getOrDefault(receiver.get(), now);
		boolean waiting = waitsUntil - now > RELEASE_DURATION_NANOS;
		return waiting || this.controller.health(receiver.get(), now)
			.map((health) -> health.nextHeartbeatInNanos(now))
			.filter((nanos) -> nanos > RELEASE_DURATION_NANOS && nanos < RELEASE_NEAR_NANOS)
			.isPresent();
	}

	private void offer(RangeLease lease, long now) {
		boolean serving = lease.serving();
		this.leases.offered(lease, now);
		if (!serving) {
			this.controller.viewChanged();
			this.output.decision("grant", "service", lease.service(), "keys",
					FleetController.format(lease.range().keys()), "target", lease.range().owner().target(), "fence",
					lease.range().fence(), "outcome", "offered", "ownerless-millis",
					(now - lease.ownerlessSinceNanos()) / NANOS_PER_MILLI);
			this.controller.moveEnded(lease, now);
		}
	}

	// Adds a range, as part of the previous one if it continues that.
	private static void add(List<GrantedRange> ranges, GrantedRange next) {
		int last = ranges.size() - 1;
		if (last >= 0 && ranges.get(last).continuedBy(next)) {
			ranges.set(last, ranges.get(last).extendedBy(next));
		}
		else {
			ranges.add(next);
		}
	}

	private List<RangeLease> leasesOf(FleetTarget target) {
		return this.leases.of(target.service())
			.stream()
			.filter((lease) -> lease.range().owner().equals(target.owner()))
			.toList();
	}

}
