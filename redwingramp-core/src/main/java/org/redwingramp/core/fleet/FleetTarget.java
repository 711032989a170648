package org.redwingramp.core.fleet;

import org.redwingramp.core.ownership.Owner;

/**
 * Description of one incarnation of a target, which is a server that owns keys. Immutable
 * and thread safe.
 *
 * @param name the target's name
 * @param born the wall-clock time at which this incarnation started, in milliseconds; 0
 * if the target doesn't report it
 * @param service the name of the service
 * @param address the address for requests, {@code ip:port}
 * @param domain the failure domain
 * @param slots the maximum number of requests that it processes concurrently
 * @param stage the stage of its lifecycle
 */
public record FleetTarget(String name, long born, String service, String address, String domain, int slots,
		Stage stage) {

	/** Lifecycle stage of a target, in the order in which a target passes the stages. */
	public enum Stage {

		/** Accepts new requests. */
		SERVING(true),

		/** Completes the requests in flight and accepts no new ones. */
		DRAINING(false),

		/**
		 * Has reported that it stops. Its description is kept so that a late heartbeat
		 * doesn't add the target again.
		 */
		LEFT(false);

		private final boolean usable;

		Stage(boolean usable) {
			this.usable = usable;
		}

		/**
		 * Returns whether new requests may be sent.
		 * @return whether new requests may be sent
		 */
		public boolean usable() {
			return this.usable;
		}

	}

	/**
	 * Returns the owner that denotes this incarnation of the target.
	 * @return the owner
	 */
	public Owner owner() {
		return new Owner(this.name, this.born);
	}

	/**
	 * Returns a copy of this target in another stage.
	 * @param next the stage
	 * @return the copy
	 */
	public FleetTarget with(Stage next) {
		return new FleetTarget(this.name, this.born, this.service, this.address, this.domain, this.slots, next);
	}

	/**
	 * Returns this target in the later one of its stage and another. A target never
	 * returns to an earlier stage, but what it states of itself may arrive out of order.
	 * @param stated the other stage
	 * @return the target
	 */
	public FleetTarget atLeast(Stage stated) {
		return (stated.compareTo(this.stage) > 0) ? with(stated) : this;
	}

}
