package org.redwingramp.core.fleet;

import java.util.List;

import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.Owner;

/**
 * A change of the fleet's state. All implementations are immutable records. They are
 * stored in the log, so components must not be renamed.
 */
public sealed interface FleetCommand {

	/**
	 * Replaces the configuration.
	 *
	 * @param base the version that the change builds on
	 * @param version the new version
	 * @param document the configuration as the operator sent it
	 */
	record ReplaceConfig(long base, long version, byte[] document) implements FleetCommand {
	}

	/**
	 * Takes a failure domain out of service or back.
	 *
	 * @param domain the failure domain
	 * @param out whether it is out of service
	 */
	record SetDomainOut(String domain, boolean out) implements FleetCommand {
	}

	/**
	 * Adds a target or changes what is known of it.
	 *
	 * @param target the target
	 */
	record RecordTarget(FleetTarget target) implements FleetCommand {
	}

	/**
	 * Removes a life of a target. Its keys become free.
	 *
	 * @param owner the life
	 */
	record ForgetTarget(Owner owner) implements FleetCommand {
	}

	/**
	 * Gives key ranges to new owners, under new fences.
	 *
	 * @param service the service
	 * @param moves the ranges with their new owners
	 */
	record AssignKeys(String service, List<Move> moves) implements FleetCommand {

		public AssignKeys {
			moves = List.copyOf(moves);
		}

	}

	/**
	 * A range with its new owner.
	 *
	 * @param keys the range
	 * @param owner the new owner
	 */
	record Move(KeyRange keys, Owner owner) {
	}

}
