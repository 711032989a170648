package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

/**
 * Accesses the ledger in the replicated control state by commands to the control leader.
 * Thread safe.
 */
final class ReplicatedLedger implements RequestLedger {

	private static final long RECORD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final ControlClient control;

	private final Executor background;

	private final LongSupplier clock;

	ReplicatedLedger(ControlClient control, Executor background, LongSupplier clock) {
		this.control = control;
		this.background = background;
		this.clock = clock;
	}

	@Override
	public Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException {
		long deadline = this.clock.getAsLong() + timeoutNanos;
		String lastFailure = "the deadline passed before the request could be recorded";
		while (this.clock.getAsLong() < deadline) {
			try {
				CommandResult result = this.control.propose(request, deadline - this.clock.getAsLong());
				if (result instanceof Begun begun) {
					return begun;
				}
				throw new LedgerUnavailableException("unexpected reply of the ledger: " + result);
			}
			catch (ControlUndecidedException ex) {
				// The command contains a token, so repeating it cannot start a second
				// attempt.
				lastFailure = ex.getMessage();
			}
			catch (ControlUnavailableException ex) {
				throw new LedgerUnavailableException(ex.getMessage());
			}
		}
		throw new LedgerUnavailableException(lastFailure);
	}

	@Override
	public void finish(RequestIdentity request, long attempt, StoredAnswer answer) {
		proposeOnce(new Command.FinishRequest(request, attempt, answer));
	}

	@Override
	public void abort(RequestIdentity request, long attempt) {
		proposeOnce(new Command.AbortRequest(request, attempt));
	}

	@Override
	public void markUnknown(RequestIdentity request, long attempt) {
		try {
			this.background.execute(() -> proposeOnce(new Command.MarkUnknown(request, attempt)));
		}
		catch (RejectedExecutionException ex) {
			// The ledger treats the outcome as unknown once the attempt's deadline
			// passes.
			return;
		}
	}

	private void proposeOnce(Command command) {
		try {
			this.control.propose(command, RECORD_TIMEOUT_NANOS);
		}
		catch (ControlUnavailableException | ControlUndecidedException ex) {
			// The ledger then reports the outcome as unknown, which is correct.
			return;
		}
	}

}
