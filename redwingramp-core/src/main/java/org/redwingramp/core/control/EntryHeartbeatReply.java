package org.redwingramp.core.control;

import java.util.List;
import java.util.Optional;

/**
 * What the leader answers to a heartbeat. Immutable and thread safe.
 *
 * @param sequence the heartbeat that is answered
 * @param term the leader's term
 * @param leaseNanos the gate lease, counted by the entry from when it sent the heartbeat;
 * 0 for none
 * @param update the changes since the entry's view version, empty if there are none
 * @param handOver the gates that the entry is asked to hand over, with their epochs
 */
public record EntryHeartbeatReply(long sequence, long term, long leaseNanos, Optional<ViewUpdate> update,
		List<EntryHeartbeat.TargetEpoch> handOver) {

	public EntryHeartbeatReply {
		handOver = List.copyOf(handOver);
	}

}
