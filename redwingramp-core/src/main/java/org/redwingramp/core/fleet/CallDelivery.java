package org.redwingramp.core.fleet;

import java.util.Optional;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.ownership.RangeLease.Phase;

/**
 * Grants, renews and releases ranges by calls to their owners. A target may apply a grant
 * without a response seconds later, whichever leader sent it. Invariant: a release bears
 * a higher fence than any grant of the range that may have been sent, so that an owner
 * which has confirmed the release refuses them, and it is sent once none of them can
 * arrive any more, so that a later incarnation of the owner gets none. Not thread safe.
 */
final class CallDelivery implements GrantDelivery {

	/**
	 * Maximum number of grants sent in one tick. A new leader has to renew all leases at
	 * once; doing so in a single tick would delay its heartbeats. At 20 ticks per second
	 * it renews 640 leases within the renewal interval.
	 */
	private static final int MAX_GRANTS_PER_TICK = 40;

	/**
	 * Number of refusals in a row after which a range isn't granted to its owner any
	 * more, but to another target once its lease has ended. Limits the commands that a
	 * target causes which refuses every fence.
	 */
	static final int MAX_REFUSALS = 3;

	/**
	 * Time after which a range whose grants get no response gets a higher fence. Its
	 * owner may have seen the fence of a release that led to no move and refuse the
	 * grants, while its refusals are lost.
	 */
	private static final long MAX_UNANSWERED_NANOS = 1_500_000_000L;

	private final FleetController controller;

	private final FleetState state;

	private final LeaseTable leases;

	private final FleetOutput output;

	private int remainingGrants;

	CallDelivery(FleetController controller, FleetState state, LeaseTable leases, FleetOutput output) {
		this.controller = controller;
		this.state = state;
		this.leases = leases;
		this.output = output;
	}

	void tickBegins() {
		this.remainingGrants = MAX_GRANTS_PER_TICK;
	}

	@Override
	public boolean reachable(TargetHealth health, long now) {
		return !health.suspect(now);
	}

	@Override
	public void maintain(RangeLease lease, FleetTarget target, long now) {
		TargetHealth health = this.controller.health(target, now);
		if (!reachable(health, now) && this.controller.addressTaken(target)) {
			releaseDisputed(lease, target, now);
			return;
		}
		boolean reachable = reachable(health, now) && !(target.stage() == Stage.LEFT && health.lost(now));
		if (!reachable || lease.callInFlight()) {
			return;
		}
		boolean leaves = lease.releaseRequested() || !this.controller.mayKeepKeys(target);
		boolean refused = lease.phase() == Phase.REFUSED;
		boolean releases = (leaves && (lease.granted() || refused)) || this.leases.releaseDue(lease, now);
		if (releases && !(lease.granted() && lease.grantMayArrive(now))) {
			release(lease, target, now);
		}
		else if ((refused && lease.refusals() < MAX_REFUSALS)
				|| (lease.granted() && lease.unansweredFor(MAX_UNANSWERED_NANOS, now))) {
			this.controller.proposeHigherFence(lease);
		}
		else if (this.remainingGrants > 0 && this.leases.grantDue(lease, now)) {
			this.remainingGrants--;
			this.leases.grantSent(lease, now);
			this.output.grant(lease, target, relayFor(health, now));
		}
	}

	// Another target states the address of an unreachable one. Whoever answers there, a
	// release soon shows that the keys are free, and it can't prolong the lease.
	private void releaseDisputed(RangeLease lease, FleetTarget target, long now) {
		if (!lease.callInFlight() && (lease.granted() || this.leases.releaseDue(lease, now))) {
			release(lease, target, now);
		}
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, long now) {
		long fence = this.state.highestFence();
		if (!lease.lateGrantsRefusedAfter(fence)) {
			this.leases.requestRelease(lease, now);
			this.controller.proposeHigherFence(lease);
			return;
		}
		if (lease.grantMayArrive(now)) {
			this.leases.requestRelease(lease, now);
			return;
		}
		this.controller.viewChanged();
		this.leases.releaseSent(lease, fence, now);
		this.output.release(lease, target, relayFor(this.controller.health(target, now), now));
	}

	private static Optional<String> relayFor(TargetHealth health, long now) {
		return health.directlyReachable() ? Optional.empty() : health.relay(now);
	}

}
