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
 * Guards against bookings that wait for the ledger keeping lookups from their target,
 * against a recorded booking that got no slot staying in the ledger, and against lookups
 * waiting for a lost target until their deadline.
 */
@Timeout(10)
class GateServiceWaitingTests {

	private static final ShardId SHARD = new ShardId("taller-svc", 1, "");

	private static final TargetState TARGET = new TargetState(
			new TargetSpec("taller-01", "taller-svc", "127.0.0.1:1", "zona-capital", 1, 10, "boot", true),
			TargetPhase.READY, "entry-1", 1, 1);

	private CompletableFuture<TargetAnswer> toTarget = CompletableFuture
		.completedFuture(new TargetAnswer.Whole(200, List.of(), new byte[0], 1));

	private final FakeLedger ledger = new FakeLedger();

	private final GateRuntime gate = new GateRuntime("taller-01", 1, GateSettings.of(1, 0), System::nanoTime);

	private final GateService service = new GateService(new GateRegistry("entry-1", System::nanoTime),
			(call) -> this.toTarget, new AtMostOnce(this.ledger, "entry-1", System::nanoTime),
			(target, key, shard, fence) -> true, new ShardLoads(), System::nanoTime);

	@Test
	void shouldAnswerLookupsWhileABookingWaitsForTheLedger() throws Exception {
		this.gate.open(true);
		CompletableFuture<GateReply> booking = CompletableFuture.supplyAsync(() -> serve(RequestClass.AT_MOST_ONCE));
		this.ledger.asked.await(5, TimeUnit.SECONDS);
		assertThat(serve(RequestClass.IDEMPOTENT).problem()).isEmpty();
		this.ledger.answer.countDown();
		assertThat(booking.get(5, TimeUnit.SECONDS).problem()).isEmpty();
	}

	@Test
	void shouldAbortABookingThatGetsNoSlot() {
		this.ledger.answer.countDown();
		assertThat(serve(RequestClass.AT_MOST_ONCE).problem()).contains(Problem.QUEUE_FULL);
		assertThat(this.ledger.aborted).hasValue(1);
	}

	@Test
	void shouldGiveUpALookupWhenItsTargetIsLostButNotABooking() throws Exception {
		this.gate.open(true);
		this.ledger.answer.countDown();
		this.toTarget = new CompletableFuture<>();
		this.gate.abandon();
		assertThat(serve(RequestClass.IDEMPOTENT).problem()).contains(Problem.NO_ANSWER);
		this.toTarget = new CompletableFuture<>();
		CompletableFuture<GateReply> booking = CompletableFuture.supplyAsync(() -> serve(RequestClass.AT_MOST_ONCE));
		assertThat(booking).failsWithin(100, TimeUnit.MILLISECONDS);
		this.toTarget.complete(new TargetAnswer.Whole(200, List.of(), new byte[0], 1));
		assertThat(booking.get(5, TimeUnit.SECONDS).problem()).isEmpty();
	}

	private GateReply serve(RequestClass requestClass) {
		GateRequest request = new GateRequest("taller-svc", "GET", "/taller-svc/x/wok-1", List.of(), new byte[0],
				requestClass, "id", 1, "taller-01", 1, "wok-1", SHARD, 1, 2_000);
		return this.service.serve(request, this.gate, TARGET, new CompletableFuture<>());
	}

	private static final class FakeLedger implements RequestLedger {

		private final CountDownLatch asked = new CountDownLatch(1);

		private final CountDownLatch answer = new CountDownLatch(1);

		private final AtomicInteger aborted = new AtomicInteger();

		@Override
		public Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException {
			this.asked.countDown();
			try {
				this.answer.await(5, TimeUnit.SECONDS);
				return new Begun(Begun.Status.STARTED, 1, Optional.empty());
			}
			catch (InterruptedException ex) {
				throw new LedgerUnavailableException("interrupted");
			}
		}

		@Override
		public void finish(RequestIdentity request, long attempt, StoredAnswer answer) {
			// The answer isn't asked for.
		}

		@Override
		public void abort(RequestIdentity request, long attempt) {
			this.aborted.incrementAndGet();
		}

		@Override
		public void markUnknown(RequestIdentity request, long attempt) {
			throw new IllegalStateException("the answer is known");
		}

	}

}
