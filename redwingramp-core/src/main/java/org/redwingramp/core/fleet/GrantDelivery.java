package org.redwingramp.core.fleet;

import org.redwingramp.core.ownership.RangeLease;

/**
 * A way in which targets learn which key ranges they own. Implementations decide when a
 * lease is renewed and how its release is requested; the {@link FleetController} decides
 * who owns which range. Not thread safe.
 */
interface GrantDelivery {

	/**
	 * Returns whether a target can be reached at present, so that it may receive keys and
	 * its leases are expected to be renewed.
	 * @param health the target's health
	 * @param now the monotonic time in nanoseconds
	 * @return whether the target can be reached
	 */
	boolean reachable(TargetHealth health, long now);

	/**
	 * Renews a lease, or continues its release, if that is due.
	 * @param lease the lease
	 * @param target its owner
	 * @param now the monotonic time in nanoseconds
	 */
	void maintain(RangeLease lease, FleetTarget target, long now);

	/**
	 * Requests the owner of a lease to release it.
	 * @param lease the lease
	 * @param target its owner
	 * @param now the monotonic time in nanoseconds
	 */
	void release(RangeLease lease, FleetTarget target, long now);

}
