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
 * The ledger in the replicated control state. Thread safe.
 */
final class ReplicatedLedger implements RequestLedger {

	private static final long FINISH_NANOS = TimeUnit.SECONDS.toNanos(2);

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
		String last = "the deadline passed";
		while (this.clock.getAsLong() < deadline) {
			try {
				CommandResult result = this.control.propose(request, deadline - this.clock.getAsLong());
				if (result instanceof Begun begun) {
					return begun;
				}
				throw new LedgerUnavailableException("the ledger answered " + result);
			}
			catch (ControlUndecidedException ex) {
				// The command has a token, so repeating it never starts a second attempt.
				last = ex.getMessage();
			}
			catch (ControlUnavailableException ex) {
				throw new LedgerUnavailableException(ex.getMessage());
			}
		}
		throw new LedgerUnavailableException(last);
	}

	@Override
	public void finish(RequestIdentity request, long attempt, StoredAnswer answer) {
		record(new Command.FinishRequest(request, attempt, answer));
	}

	@Override
	public void abort(RequestIdentity request, long attempt) {
		record(new Command.AbortRequest(request, attempt));
	}

	@Override
	public void markUnknown(RequestIdentity request, long attempt) {
		try {
			this.background.execute(() -> record(new Command.MarkUnknown(request, attempt)));
		}
		catch (RejectedExecutionException ex) {
			// The ledger counts the request as unknown by itself once its time is over.
			return;
		}
	}

	private void record(Command command) {
		try {
			this.control.propose(command, FINISH_NANOS);
		}
		catch (ControlUnavailableException | ControlUndecidedException ex) {
			// The ledger then reports the request as unknown, which is true.
			return;
		}
	}

}
