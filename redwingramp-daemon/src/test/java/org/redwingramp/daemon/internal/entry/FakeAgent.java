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
 * A fake agent that always holds every lease and returns the view that the test has set.
 */
final class FakeAgent implements EntryAgent {

	private ControlView view;

	private boolean invariantViolated;

	FakeAgent(ControlView view) {
		this.view = view;
	}

	void setView(ControlView newView) {
		this.view = newView;
	}

	void simulateInvariantViolation() {
		this.invariantViolated = true;
	}

	@Override
	public EntryHeartbeat nextHeartbeat(GateReports reports, long now) {
		throw new UnsupportedOperationException("the fake agent sends no heartbeats");
	}

	@Override
	public void handleHeartbeatReply(EntryHeartbeatReply reply, long now) throws InvariantViolatedException {
		if (this.invariantViolated) {
			throw new InvariantViolatedException("simulated invariant violation");
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
		// The fake agent always holds every lease.
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
		// No requests are in flight in this test.
	}

}
