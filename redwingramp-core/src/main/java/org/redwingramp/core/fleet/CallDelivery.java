package org.redwingramp.core.fleet;

import java.util.Optional;

import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.ownership.RangeLease;

/**
 * Grants, renews and releases ranges by calls to their owners. Not thread safe.
 */
final class CallDelivery implements GrantDelivery {

	/**
	 * Maximum number of grants sent in one tick. A new leader has to renew all leases at
	 * once; doing so in a single tick would delay its heartbeats. At 20 ticks per second
	 * it renews 640 leases within the renewal interval.
	 */
	private static final int MAX_GRANTS_PER_TICK = 40;

	private final FleetController controller;

	private final LeaseTable leases;

	private final FleetOutput output;

	private int remainingGrants;

	CallDelivery(FleetController controller, LeaseTable leases, FleetOutput output) {
		this.controller = controller;
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
		if (lease.granted() && lease.lateGrantPossible(now)) {
			this.controller.proposeHigherFence(lease);
		}
		else if (lease.granted() && !this.controller.mayKeepKeys(target) && !lease.confirmBeforeRelease()) {
			release(lease, target, now);
		}
		else if (this.leases.releaseDue(lease, now)) {
			release(lease, target, now);
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
		this.controller.viewChanged();
		this.leases.releaseSent(lease, now);
		this.output.release(lease, target, relayFor(this.controller.health(target, now), now));
	}

	private static Optional<String> relayFor(TargetHealth health, long now) {
		return health.directlyReachable() ? Optional.empty() : health.relay(now);
	}

}
