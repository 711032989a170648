package org.redwingramp.core.control;

import java.util.List;
import java.util.Optional;

/**
 * The control leader's reply to a heartbeat. Immutable and thread safe.
 *
 * @param sequence the sequence number of the heartbeat
 * @param term the leader's term
 * @param leaseNanos the duration of the gate lease, counted from the time at which the
 * entry instance sent the heartbeat; 0 for no lease
 * @param update the changes since the view version of the heartbeat, empty if there are
 * none
 * @param handOver the targets whose gates the entry instance is requested to hand over
 */
public record EntryHeartbeatReply(long sequence, long term, long leaseNanos, Optional<ViewUpdate> update,
		List<EntryHeartbeat.TargetEpoch> handOver) {

	public EntryHeartbeatReply {
		handOver = List.copyOf(handOver);
	}

}
