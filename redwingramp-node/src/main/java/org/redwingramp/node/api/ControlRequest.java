package org.redwingramp.node.api;

import java.util.Optional;

import org.redwingramp.core.fleet.TargetHeartbeat;

/**
 * A call to the control replicas. All implementations are immutable records.
 */
public sealed interface ControlRequest {

	/**
	 * A target is alive.
	 *
	 * @param beat the heartbeat
	 */
	record Heartbeat(TargetHeartbeat beat) implements ControlRequest {
	}

	/**
	 * A target is about to end.
	 *
	 * @param target the target's name
	 * @param born the start of its life, if it says so
	 */
	record Leave(String target, Optional<Long> born) implements ControlRequest {
	}

	/**
	 * An operator replaces the configuration.
	 *
	 * @param base the version that the change builds on
	 * @param version the new version
	 * @param document the configuration as sent
	 */
	record ReplaceConfig(long base, long version, byte[] document) implements ControlRequest {
	}

	/** An operator reads the configuration. */
	record ReadConfig() implements ControlRequest {
	}

	/**
	 * An operator takes a failure domain out of service or back.
	 *
	 * @param domain the failure domain
	 * @param out whether it is taken out
	 */
	record SetDomainOut(String domain, boolean out) implements ControlRequest {
	}

	/**
	 * The call can't be accepted.
	 *
	 * @param reason what is wrong with it and where
	 */
	record Invalid(String reason) implements ControlRequest {
	}

	/** No such call exists. */
	record Unknown() implements ControlRequest {
	}

}
