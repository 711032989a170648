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

	private final FakeTargetCaller targets = new FakeTargetCaller();

	private final GateRegistry registry = new GateRegistry(ControlFixture.GATE, System::nanoTime);

	private boolean permitted = true;

	private final GateService service = new GateService(this.registry, this.targets,
			new AtMostOnce(this.ledger, ControlFixture.GATE, System::nanoTime),
			(target, key, shard, fence) -> this.permitted, new ShardLoads(), System::nanoTime);

	@BeforeEach
	void openGate() {
		this.registry.follow(this.control.view());
		this.registry.all().forEach((gate) -> gate.open(true));
	}

	@Test
	void shouldRecordBeforeItSendsAndAfterTheAnswer() {
		this.targets.answerNext(whole("done"));
		GateReply reply = serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(reply.problem()).isEmpty();
		assertThat(this.ledger.calls()).containsExactly("begin", "finish");
	}

	/** Guards against a second run of a booking that the caller sends again. */
	@Test
	void shouldReplayTheAnswerOfAFinishedRequest() {
		this.targets.answerNext(whole("done"));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		GateReply again = serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(again.replayed()).isTrue();
		assertThat(again.body()).asString().isEqualTo("done");
		assertThat(this.targets.calls()).hasSize(1);
	}

	/** Guards against a second run after a lost answer. */
	@Test
	void shouldNotSendAgainAfterALostAnswer() {
		this.targets.answerNext(new TargetAnswer.Lost("broken", 1, false));
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NO_ANSWER);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.EARLIER_UNKNOWN);
		assertThat(this.targets.calls()).hasSize(1);
	}

	/** Guards against an identity that stays blocked although nothing ran. */
	@Test
	void shouldSendAgainAfterNothingWasSent() {
		this.targets.answerNext(new TargetAnswer.NotSent("refused", true));
		this.targets.answerNext(whole("done"));
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NO_OWNER);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).isEmpty();
	}

	/** Guards against a send that is not recorded. */
	@Test
	void shouldNotSendWithoutTheLedger() {
		this.ledger.available(false);
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.NOT_RECORDED);
		assertThat(this.targets.calls()).isEmpty();
	}

	@Test
	void shouldRefuseAnIdentityThatWasUsedForOtherContent() {
		this.targets.answerNext(whole("done"));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "other").problem()).contains(Problem.IDENTITY_REUSED);
	}

	/** Guards against an answer that was too large to keep and is taken for "not run". */
	@Test
	void shouldSayThatARequestRanWhoseAnswerWasNotKept() {
		this.targets.answerNext(whole("x".repeat(20_000)));
		serve(RequestClass.AT_MOST_ONCE, ID, "visit");
		assertThat(serve(RequestClass.AT_MOST_ONCE, ID, "visit").problem()).contains(Problem.RAN_ANSWER_NOT_KEPT);
	}

	/** Guards against a send after the leases are over. */
	@Test
	void shouldNotSendWithoutPermission() {
		this.permitted = false;
		assertThat(serve(RequestClass.IDEMPOTENT, ID, "").problem()).contains(Problem.WRONG_GATE);
		assertThat(this.targets.calls()).isEmpty();
	}

	/** Guards against a gate that a newer epoch has replaced. */
	@Test
	void shouldRefuseRequestsOfAnotherEpoch() {
		GateRequest old = this.control.request(RequestClass.IDEMPOTENT, ID, "");
		this.control.apply(new Command.AssignGates(
				List.of(new Command.GateAssignment(ControlFixture.TARGET, old.gateEpoch(), ControlFixture.GATE))));
		this.registry.follow(this.control.view());
		assertThat(serve(old).problem()).contains(Problem.WRONG_GATE);
	}

	/** Guards against slots that are lost with each failed request. */
	@Test
	void shouldGiveBackTheSlotAfterEachEnd() {
		this.targets.answerNext(new TargetAnswer.Lost("broken", 1, false));
		this.targets.answerNext(new TargetAnswer.NotSent("refused", true));
		this.targets.answerNext(new TargetAnswer.RefusedByTarget(503, 1));
		for (int i = 0; i < 3; i++) {
			serve(RequestClass.AT_MOST_ONCE, "booking-" + i, "visit");
		}
		this.permitted = false;
		serve(RequestClass.IDEMPOTENT, ID, "");
		GateRuntime gate = this.registry.find(ControlFixture.TARGET).orElseThrow();
		assertThat(gate.status().inFlight()).isZero();
		assertThat(gate.idle()).isTrue();
	}

	/** Guards against a slot that a request keeps after its caller went away. */
	@Test
	void shouldGiveBackTheSlotOfACancelledRequest() {
		CompletableFuture<Void> cancelled = new CompletableFuture<>();
		cancelled.complete(null);
		GateReply reply = this.service.serve(this.control.request(RequestClass.IDEMPOTENT, ID, ""), this.control.view(),
				cancelled);
		assertThat(reply.problem()).contains(Problem.NO_ANSWER);
		assertThat(this.registry.find(ControlFixture.TARGET).orElseThrow().idle()).isTrue();
	}

	/** Guards against requests that wait at a gate that was closed. */
	@Test
	void shouldRefuseWaitingRequestsWhenTheGateCloses() {
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

	private static TargetAnswer whole(String body) {
		return new TargetAnswer.Whole(200, List.of(), body.getBytes(StandardCharsets.UTF_8), 1_000);
	}

}
