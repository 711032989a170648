package org.redwingramp.daemon.internal.gate;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.daemon.internal.route.Problem;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(10)
class GateServiceTests {

	private static final String ID = "booking-1";

	private final ControlFixture control = new ControlFixture("127.0.0.1:9");

	private final FakeLedger ledger = new FakeLedger(this.control.state());

	private final FakeTargetClient targets = new FakeTargetClient();

	private final GateRegistry registry = new GateRegistry(ControlFixture.GATE, System::nanoTime);

	private boolean permitted = true;

	private final GateService service = new GateService(this.registry, this.targets,
			new AtMostOnceExecutor(this.ledger, ControlFixture.GATE, System::nanoTime),
			(target, key, shard, fence) -> this.permitted, new ShardLoadStatistics(), System::nanoTime);

	@BeforeEach
	void openGate() {
		this.registry.reconcile(this.control.view());
		this.registry.all().forEach((gate) -> gate.setOpen(true));
	}

	@Test
	void shouldRecordTheAttemptBeforeSendingAndTheResponseAfterwards() {
		this.targets.addResult(completeResponse("done"));
		GateReply reply = serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(reply.problem()).isEmpty();
		assertThat(this.ledger.calls()).containsExactly("begin", "finish");
	}

	/** Guards against a second execution of a booking that the caller sends again. */
	@Test
	void shouldReplayTheResponseOfAFinishedRequest() {
		this.targets.addResult(completeResponse("done"));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		GateReply again = serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(again.replayed()).isTrue();
		assertThat(again.body()).asString().isEqualTo("done");
		assertThat(this.targets.calls()).hasSize(1);
	}

	/** Guards against a second execution after the response was lost. */
	@Test
	void shouldNotSendAgainAfterALostResponse() {
		this.targets.addResult(new TargetCallResult.OutcomeUnknown("broken", 1, false));
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NO_ANSWER);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.EARLIER_UNKNOWN);
		assertThat(this.targets.calls()).hasSize(1);
	}

	/**
	 * Guards against a request identity that stays blocked in the ledger although nothing
	 * was sent.
	 */
	@Test
	void shouldSendAgainAfterNothingWasSent() {
		this.targets.addResult(new TargetCallResult.NotSent("refused", true));
		this.targets.addResult(completeResponse("done"));
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NO_OWNER);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).isEmpty();
	}

	/** Guards against sending an at-most-once request that is not in the ledger. */
	@Test
	void shouldNotSendWhenTheLedgerIsUnavailable() {
		this.ledger.setAvailable(false);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NOT_RECORDED);
		assertThat(this.targets.calls()).isEmpty();
	}

	@Test
	void shouldRefuseAnIdentityThatWasUsedForOtherContent() {
		this.targets.addResult(completeResponse("done"));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "other").problem()).contains(Problem.IDENTITY_REUSED);
	}

	/**
	 * Guards against the reply "not run" to a request whose response was too large to
	 * store.
	 */
	@Test
	void shouldReportThatARequestRanWhoseResponseWasNotStored() {
		this.targets.addResult(completeResponse("x".repeat(20_000)));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.RAN_ANSWER_NOT_KEPT);
	}

	/** Guards against sending after a lease has expired. */
	@Test
	void shouldNotSendWithoutPermission() {
		this.permitted = false;
		assertThat(serve(RequestClass.IDEMPOTENT, ID, "").problem()).contains(Problem.WRONG_GATE);
		assertThat(this.targets.calls()).isEmpty();
	}

	/** Guards against sending requests that were routed under an earlier gate epoch. */
	@Test
	void shouldRefuseRequestsOfAnotherGateEpoch() {
		GateRequest outdated = this.control.request(RequestClass.IDEMPOTENT, ID, "");
		this.control.apply(new Command.AssignGates(
				List.of(new Command.GateAssignment(ControlFixture.TARGET, outdated.gateEpoch(), ControlFixture.GATE))));
		this.registry.reconcile(this.control.view());
		assertThat(serve(outdated).problem()).contains(Problem.WRONG_GATE);
	}

	/** Guards against leaking a slot with each failed request. */
	@Test
	void shouldReleaseTheSlotAfterEachFailure() {
		this.targets.addResult(new TargetCallResult.OutcomeUnknown("broken", 1, false));
		this.targets.addResult(new TargetCallResult.NotSent("refused", true));
		this.targets.addResult(new TargetCallResult.RefusedByTarget(503, 1));
		for (int i = 0; i < 3; i++) {
			serve(RequestClass.AT_MOST_ONCE, "booking-" + i, "visit");
		}
		this.permitted = false;
		serve(RequestClass.IDEMPOTENT, ID, "");
		GateRuntime gate = this.registry.find(ControlFixture.TARGET).orElseThrow();
		assertThat(gate.status().inFlight()).isZero();
		assertThat(gate.idle()).isTrue();
	}

	/** Guards against leaking the slot of a request whose caller disconnected. */
	@Test
	void shouldReleaseTheSlotOfACancelledRequest() {
		CompletableFuture<Void> cancelled = new CompletableFuture<>();
		cancelled.complete(null);
		GateReply reply = this.service.serve(this.control.request(RequestClass.IDEMPOTENT, ID, ""), this.control.view(),
				cancelled);
		assertThat(reply.problem()).contains(Problem.NO_ANSWER);
		assertThat(this.registry.find(ControlFixture.TARGET).orElseThrow().idle()).isTrue();
	}

	/** Guards against requests that wait at a closed gate until their deadline. */
	@Test
	void shouldRefuseRequestsAtARetiredGate() {
		GateRuntime gate = this.registry.find(ControlFixture.TARGET).orElseThrow();
		gate.retire();
		assertThat(serve(RequestClass.IDEMPOTENT, ID, "").problem()).contains(Problem.WRONG_GATE);
		assertThat(gate.idle()).isTrue();
	}

	private GateReply serve(RequestClass requestClass, String identity, String body) {
		return serve(this.control.request(requestClass, identity, body));
	}

	private GateReply serve(GateRequest request) {
		return this.service.serve(request, this.control.view(), new CompletableFuture<>());
	}

	private static TargetCallResult completeResponse(String body) {
		return new TargetCallResult.Complete(200, List.of(), body.getBytes(StandardCharsets.UTF_8), 1_000);
	}

}
