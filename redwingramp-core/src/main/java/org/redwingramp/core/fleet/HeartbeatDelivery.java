package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.ownership.LeaseRenewal;
import org.redwingramp.core.ownership.LeaseRenewal.GrantedRange;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.LeaseTiming;
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

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FleetController controller;

	private final LeaseTable leases;

	private final FleetOutput output;

	private final long holdMillis;

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
		this.leases.requestRelease(lease);
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
			if (lease.releaseRequested() || !this.controller.mayKeepKeys(target)) {
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

	private void offer(RangeLease lease, long now) {
		boolean serving = lease.serving();
		this.leases.offered(lease, now);
		if (!serving) {
			this.controller.viewChanged();
			this.output.decision("grant", "service", lease.service(), "keys",
					FleetController.format(lease.range().keys()), "target", lease.range().owner().target(), "fence",
					lease.range().fence(), "outcome", "offered", "ownerless-millis",
					(now - lease.ownerlessSinceNanos()) / NANOS_PER_MILLI);
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
