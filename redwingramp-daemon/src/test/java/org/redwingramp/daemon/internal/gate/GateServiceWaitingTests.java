package org.redwingramp.daemon.internal.gate;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;
import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.daemon.internal.route.Problem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against at-most-once requests (bookings) that block idempotent requests
 * (lookups) to the same target while they wait for the ledger, against a recorded booking
 * that stays in the ledger although it obtained no slot, and against lookups that wait
 * for a lost target until their deadline.
 */
@Timeout(10)
class GateServiceWaitingTests {

	private static final ShardId SHARD = new ShardId("taller-svc", 1, "");

	private static final TargetState TARGET = new TargetState(
			new TargetSpec("taller-01", "taller-svc", "127.0.0.1:1", "zona-capital", 1, 10, "boot", true),
			TargetPhase.READY, "entry-1", 1, 1);

	private CompletableFuture<TargetCallResult> targetResponse = CompletableFuture
		.completedFuture(new TargetCallResult.Complete(200, List.of(), new byte[0], 1));

	private final BlockingLedger ledger = new BlockingLedger();

	private final GateRuntime gate = new GateRuntime("taller-01", 1, GateSettings.of(1, 0), System::nanoTime);

	private final GateService service = new GateService(new GateRegistry("entry-1", System::nanoTime),
			(call) -> this.targetResponse, new AtMostOnceExecutor(this.ledger, "entry-1", System::nanoTime),
			(target, key, shard, fence) -> true, new ShardLoadStatistics(), System::nanoTime);

	@Test
	void shouldServeLookupsWhileABookingWaitsForTheLedger() throws Exception {
		this.gate.setOpen(true);
		CompletableFuture<GateReply> booking = CompletableFuture.supplyAsync(() -> serve(RequestClass.AT_MOST_ONCE));
		this.ledger.beginCalled.await(5, TimeUnit.SECONDS);
		assertThat(serve(RequestClass.IDEMPOTENT).problem()).isEmpty();
		this.ledger.permitBegin.countDown();
		assertThat(booking.get(5, TimeUnit.SECONDS).problem()).isEmpty();
	}

	@Test
	void shouldAbortABookingThatObtainsNoSlot() {
		this.ledger.permitBegin.countDown();
		assertThat(serve(RequestClass.AT_MOST_ONCE).problem()).contains(Problem.QUEUE_FULL);
		assertThat(this.ledger.abortCount).hasValue(1);
	}

	@Test
	void shouldCancelALookupButNotABookingWhenTheTargetIsLost() throws Exception {
		this.gate.setOpen(true);
		this.ledger.permitBegin.countDown();
		this.targetResponse = new CompletableFuture<>();
		this.gate.cancelRetryable();
		assertThat(serve(RequestClass.IDEMPOTENT).problem()).contains(Problem.NO_ANSWER);
		this.targetResponse = new CompletableFuture<>();
		CompletableFuture<GateReply> booking = CompletableFuture.supplyAsync(() -> serve(RequestClass.AT_MOST_ONCE));
		assertThat(booking).failsWithin(100, TimeUnit.MILLISECONDS);
		this.targetResponse.complete(new TargetCallResult.Complete(200, List.of(), new byte[0], 1));
		assertThat(booking.get(5, TimeUnit.SECONDS).problem()).isEmpty();
	}

	private GateReply serve(RequestClass requestClass) {
		GateRequest request = new GateRequest("taller-svc", "GET", "/taller-svc/x/wok-1", List.of(), new byte[0],
				requestClass, "id", 1, "taller-01", 1, "wok-1", SHARD, 1, 2_000);
		return this.service.serve(request, this.gate, TARGET, new CompletableFuture<>());
	}

	/**
	 * A ledger that blocks the start of an attempt until the test permits it.
	 */
	private static final class BlockingLedger implements RequestLedger {

		private final CountDownLatch beginCalled = new CountDownLatch(1);

		private final CountDownLatch permitBegin = new CountDownLatch(1);

		private final AtomicInteger abortCount = new AtomicInteger();

		@Override
		public Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException {
			this.beginCalled.countDown();
			try {
				this.permitBegin.await(5, TimeUnit.SECONDS);
				return new Begun(Begun.Status.STARTED, 1, Optional.empty());
			}
			catch (InterruptedException ex) {
				throw new LedgerUnavailableException("interrupted");
			}
		}

		@Override
		public void finish(RequestIdentity request, long attempt, StoredAnswer answer) {
			// No test reads the stored response.
		}

		@Override
		public void abort(RequestIdentity request, long attempt) {
			this.abortCount.incrementAndGet();
		}

		@Override
		public void markUnknown(RequestIdentity request, long attempt) {
			throw new IllegalStateException("unexpected call: no test loses a response");
		}

	}

}
