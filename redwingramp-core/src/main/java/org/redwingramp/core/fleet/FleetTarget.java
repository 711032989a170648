package org.redwingramp.core.fleet;

import org.redwingramp.core.ownership.Owner;

/**
 * A target as it announced itself. Immutable and thread safe.
 *
 * @param name the target's name
 * @param born the wall clock of its start in milliseconds, 0 if it doesn't say
 * @param service the service
 * @param address the address for requests, {@code ip:port}
 * @param domain the failure domain
 * @param slots the requests that it runs at once
 * @param stage what may be sent to it
 */
public record FleetTarget(String name, long born, String service, String address, String domain, int slots,
		Stage stage) {

	/** What may be sent to a target. */
	public enum Stage {

		/** Takes requests. */
		SERVING(true),

		/** Finishes what it has. */
		DRAINING(false),

		/** Has said that it ends. Kept so that a late heartbeat doesn't bring it back. */
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
	 * Returns this life of the target.
	 * @return the owner
	 */
	public Owner owner() {
		return new Owner(this.name, this.born);
	}

	/**
	 * Returns the target in another stage.
	 * @param next the stage
	 * @return the target
	 */
	public FleetTarget with(Stage next) {
		return new FleetTarget(this.name, this.born, this.service, this.address, this.domain, this.slots, next);
	}

}
