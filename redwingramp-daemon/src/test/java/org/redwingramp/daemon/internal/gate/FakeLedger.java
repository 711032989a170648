package org.redwingramp.daemon.internal.gate;

import java.util.ArrayList;
import java.util.List;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;

/**
 * A ledger that applies its commands to an in-memory control state, records the calls and
 * can be made unavailable.
 */
final class FakeLedger implements RequestLedger {

	private final ControlState state;

	private final List<String> calls = new ArrayList<>();

	private boolean available = true;

	private long index = 1_000;

	FakeLedger(ControlState state) {
		this.state = state;
	}

	void setAvailable(boolean available) {
		this.available = available;
	}

	List<String> calls() {
		return this.calls;
	}

	@Override
	public Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException {
		this.calls.add("begin");
		if (!this.available) {
			throw new LedgerUnavailableException("the fake ledger is unavailable");
		}
		return (Begun) apply(request);
	}

	@Override
	public void finish(RequestIdentity request, long attempt, StoredAnswer answer) {
		this.calls.add("finish");
		apply(new Command.FinishRequest(request, attempt, answer));
	}

	@Override
	public void abort(RequestIdentity request, long attempt) {
		this.calls.add("abort");
		apply(new Command.AbortRequest(request, attempt));
	}

	@Override
	public void markUnknown(RequestIdentity request, long attempt) {
		this.calls.add("unknown");
		apply(new Command.MarkUnknown(request, attempt));
	}

	private Object apply(Command command) {
		try {
			return this.state.apply(++this.index, System.currentTimeMillis(), command);
		}
		catch (InvariantViolatedException ex) {
			throw new AssertionError(ex);
		}
	}

}
