package org.redwingramp.node.api;

import java.util.Optional;

import org.redwingramp.core.fleet.TargetHeartbeat;

/**
 * A request to the control replicas. All implementations are immutable records.
 */
public sealed interface ControlRequest {

	/**
	 * Reports that a target is alive.
	 *
	 * @param heartbeat the heartbeat
	 */
	record Heartbeat(TargetHeartbeat heartbeat) implements ControlRequest {
	}

	/**
	 * Announces that a target is about to shut down.
	 *
	 * @param target the target's name
	 * @param born identifies the incarnation of the target by its start time, if the
	 * target states it
	 */
	record Leave(String target, Optional<Long> born) implements ControlRequest {
	}

	/**
	 * Replaces the configuration, on behalf of an operator.
	 *
	 * @param base the version that the change is based on
	 * @param version the new version
	 * @param document the configuration as the operator sent it
	 */
	record ReplaceConfig(long base, long version, byte[] document) implements ControlRequest {
	}

	/** Reads the configuration, on behalf of an operator. */
	record ReadConfig() implements ControlRequest {
	}

	/**
	 * Takes a failure domain out of service or puts it back, on behalf of an operator.
	 *
	 * @param domain the name of the failure domain
	 * @param out whether it is taken out of service
	 */
	record SetDomainOut(String domain, boolean out) implements ControlRequest {
	}

	/**
	 * A request that can't be accepted.
	 *
	 * @param reason what is invalid and where
	 */
	record Invalid(String reason) implements ControlRequest {
	}

	/** A request for an operation that doesn't exist. */
	record Unknown() implements ControlRequest {
	}

}
