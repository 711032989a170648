package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.daemon.internal.control.ControlCall;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicatedLedgerTests {

	private final ControlFixture fixture = new ControlFixture("127.0.0.1:9");

	private int repliesToLose = 1;

	private final LongSupplier clock = System::nanoTime;

	/**
	 * Guards against a booking that stays blocked because the reply to its
	 * {@link Command.BeginRequest} was lost after the command was committed.
	 */
	@Test
	void shouldStartAnAttemptWhoseCommandWasCommittedWithoutAReply() throws Exception {
		RequestLedger ledger = new ReplicatedLedger(new ReplyLosingClient(), Runnable::run, this.clock);
		Begun begun = ledger.begin(begin("token-1"), TimeUnit.SECONDS.toNanos(1));
		assertThat(begun.status()).isEqualTo(Begun.Status.STARTED);
	}

	/**
	 * Guards against a second attempt when the caller sends the request again while the
	 * first attempt is running.
	 */
	@Test
	void shouldNotStartASecondAttemptOfTheSameRequest() throws Exception {
		RequestLedger ledger = new ReplicatedLedger(new ReplyLosingClient(), Runnable::run, this.clock);
		ledger.begin(begin("token-1"), TimeUnit.SECONDS.toNanos(1));
		assertThat(ledger.begin(begin("token-2"), TimeUnit.SECONDS.toNanos(1)).status())
			.isEqualTo(Begun.Status.RUNNING);
		assertThat(ledger.begin(begin(""), TimeUnit.SECONDS.toNanos(1)).status()).isEqualTo(Begun.Status.RUNNING);
	}

	private Command.BeginRequest begin(String token) {
		RequestIdentity identity = new RequestIdentity(ControlFixture.SERVICE, "booking",
				System.currentTimeMillis() / 1_000_000 * 1_000_000);
		return new Command.BeginRequest(identity, "digest", ControlFixture.TARGET, ControlFixture.GATE,
				this.fixture.target().gateEpoch(), this.fixture.shard().id(), this.fixture.shard().fence(), 60_000,
				token);
	}

	/**
	 * Applies each command to the control state and loses the replies to the first
	 * {@code repliesToLose} commands.
	 */
	private final class ReplyLosingClient implements ControlClient {

		private long index = 5_000;

		@Override
		public ControlReply call(ControlCall call, long timeoutNanos) throws ControlUndecidedException {
			Command command = ((ControlCall.Propose) call).command();
			try {
				ControlReply reply = new ControlReply.Committed(ReplicatedLedgerTests.this.fixture.state()
					.apply(++this.index, System.currentTimeMillis(), command));
				if (ReplicatedLedgerTests.this.repliesToLose-- > 0) {
					throw new ControlUndecidedException("the reply was lost");
				}
				return reply;
			}
			catch (InvariantViolatedException ex) {
				throw new AssertionError(ex);
			}
		}

	}

}
