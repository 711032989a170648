package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.traffic.GrantMode;

/**
 * A command that changes the replicated {@link FleetState}. All implementations are
 * immutable records. They are stored in the replicated log by name, so records and their
 * components must not be renamed.
 */
public sealed interface FleetCommand {

	/**
	 * Replaces the configuration.
	 *
	 * @param base the version that the change is based on, which must be in force for the
	 * change to be accepted
	 * @param version the new version
	 * @param document the configuration as the operator sent it
	 */
	record ReplaceConfig(long base, long version, byte[] document) implements FleetCommand {
	}

	/**
	 * Takes a failure domain out of service or returns it to service.
	 *
	 * @param domain the failure domain
	 * @param out whether the failure domain is out of service
	 */
	record SetDomainOut(String domain, boolean out) implements FleetCommand {
	}

	/**
	 * Adds a target or replaces its description. A new incarnation of a target removes
	 * the key ranges of the former one.
	 *
	 * @param target the target
	 */
	record RecordTarget(FleetTarget target) implements FleetCommand {
	}

	/**
	 * Removes an incarnation of a target. Its keys no longer have an owner.
	 *
	 * @param owner the incarnation
	 */
	record ForgetTarget(Owner owner) implements FleetCommand {
	}

	/**
	 * Assigns key ranges to owners. Each range gets a new fence, a fencing token that
	 * rises with each assignment.
	 *
	 * @param service the name of the service
	 * @param moves the ranges with their new owners
	 * @param grants {@code CALL} before the first grant of the service is sent as a call,
	 * {@code HEARTBEAT} once no target can hold keys by such a grant any more; empty if
	 * that stays as it is
	 */
	record AssignKeys(String service, List<Move> moves, Optional<GrantMode> grants) implements FleetCommand {

		public AssignKeys {
			moves = List.copyOf(moves);
		}

		public AssignKeys(String service, List<Move> moves) {
			this(service, moves, Optional.empty());
		}

	}

	/**
	 * Assignment of a key range to an owner.
	 *
	 * @param keys the key range
	 * @param owner the new owner, which may be the present one
	 */
	record Move(KeyRange keys, Owner owner) {
	}

}
