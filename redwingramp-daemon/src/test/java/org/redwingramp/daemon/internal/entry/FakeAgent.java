package org.redwingramp.daemon.internal.entry;

import java.util.List;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.model.ShardId;

/**
 * An agent that holds every lease and takes its view from the test.
 */
final class FakeAgent implements EntryAgent {

	private ControlView view;

	private boolean violated;

	FakeAgent(ControlView view) {
		this.view = view;
	}

	void nextView(ControlView next) {
		this.view = next;
	}

	void violate() {
		this.violated = true;
	}

	@Override
	public EntryHeartbeat nextHeartbeat(GateReports reports, long now) {
		throw new UnsupportedOperationException("the test sends no heartbeat");
	}

	@Override
	public void handleHeartbeatReply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException {
		if (this.violated) {
			throw new InvariantViolatedException("the fake agent was told to find a violation");
		}
	}

	@Override
	public ControlView view() {
		return this.view;
	}

	@Override
	public boolean mayRoute(long now) {
		return true;
	}

	@Override
	public long gateLeaseEnd() {
		return Long.MAX_VALUE;
	}

	@Override
	public Grant nextGrant(String target, long now) {
		return new Grant("entry-1", 1, 1, "boot", 0, List.of());
	}

	@Override
	public void handleGrantReply(String target, long gateEpoch, GrantReply reply, long now) {
		// Every lease is held anyway.
	}

	@Override
	public boolean mayDispatch(String target, ShardId shard, long fence, long now) {
		return true;
	}

	@Override
	public boolean lost(String target, long now) {
		return false;
	}

	@Override
	public boolean handoverRequested(String target) {
		return false;
	}

	@Override
	public void drained(ShardId shard, long fence) {
		// Nothing is in flight.
	}

}
