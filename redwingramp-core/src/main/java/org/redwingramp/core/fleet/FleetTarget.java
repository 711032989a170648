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
 * @param warm whether it has stated that it is warm and nothing is known since by which
 * it may have become cold
 * @param warmthSequence the sequence number of the heartbeat by which that was recorded,
 * 0 if nothing was
 */
public record FleetTarget(String name, long born, String service, String address, String domain, int slots, Stage stage,
		boolean warm, long warmthSequence) {

	/**
	 * Creates the description of a target of which isn't known that it is warm.
	 * @param name the target's name
	 * @param born the wall-clock time at which this incarnation started, in milliseconds
	 * @param service the name of the service
	 * @param address the address for requests, {@code ip:port}
	 * @param domain the failure domain
	 * @param slots the maximum number of requests that it processes concurrently
	 * @param stage the stage of its lifecycle
	 */
	public FleetTarget(String name, long born, String service, String address, String domain, int slots, Stage stage) {
		this(name, born, service, address, domain, slots, stage, false, 0);
	}

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
		return new FleetTarget(this.name, this.born, this.service, this.address, this.domain, this.slots, next,
				this.warm, this.warmthSequence);
	}

	/**
	 * Returns this target with what a heartbeat states of its warmth.
	 * @param stated whether it is warm
	 * @param sequence the sequence number of the heartbeat
	 * @return the target, unchanged if it states nothing new
	 */
	public FleetTarget withWarmth(boolean stated, long sequence) {
		return (stated == this.warm && this.warmthSequence != 0) ? this : new FleetTarget(this.name, this.born,
				this.service, this.address, this.domain, this.slots, this.stage, stated, sequence);
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
