package org.redwingramp.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.TargetGate.GateEffect;
import org.redwingramp.core.routing.TargetGate.GateRequest;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGate.Refusal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TargetGateTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long NORMAL_NANOS = 10 * NANOS_PER_MILLI;

	private static final long DISTANT_DEADLINE = Long.MAX_VALUE / 2;

	private long now;

	private long nextId;

	/** Guards against more requests in flight than the target has slots. */
	@Test
	void shouldQueueRequestsAboveTheSlots() {
		TargetGate gate = openGate(new GateSettings(3, 10, false, true));
		assertThat(offerMany(gate, 5, RequestClass.IDEMPOTENT)).isEqualTo(starts(0, 1, 2));
		assertThat(gate.finished(1, GateResult.ANSWERED, this.now)).isEqualTo(starts(3));
		assertThat(gate.status(this.now).inFlight()).isEqualTo(3);
		assertThat(gate.status(this.now).waiting()).isEqualTo(1);
	}

	/** Guards against starting a deferrable request before one of higher priority. */
	@Test
	void shouldStartDeferrableRequestsLast() {
		TargetGate gate = openGate(new GateSettings(1, 10, false, true));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		offerMany(gate, 1, RequestClass.DEFERRABLE);
		offerMany(gate, 1, RequestClass.AT_MOST_ONCE);
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThat(gate.finished(0, GateResult.ANSWERED, this.now)).isEqualTo(starts(2));
		assertThat(gate.finished(2, GateResult.ANSWERED, this.now)).isEqualTo(starts(3));
		assertThat(gate.finished(3, GateResult.ANSWERED, this.now)).isEqualTo(starts(1));
	}

	/**
	 * Guards against an unbounded queue, and against deferrable requests that block it.
	 */
	@Test
	void shouldDisplaceTheYoungestDeferrableRequestFromAFullQueue() {
		TargetGate gate = openGate(new GateSettings(1, 2, false, true));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		offerMany(gate, 2, RequestClass.DEFERRABLE);
		assertThat(offerMany(gate, 1, RequestClass.DEFERRABLE)).isEqualTo(refusal(3, Refusal.QUEUE_FULL));
		assertThat(offerMany(gate, 1, RequestClass.AT_MOST_ONCE)).isEqualTo(refusal(2, Refusal.DISPLACED));
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEqualTo(refusal(1, Refusal.DISPLACED));
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEqualTo(refusal(6, Refusal.QUEUE_FULL));
	}

	/** Guards against processing requests whose response would miss the deadline. */
	@Test
	void shouldRefuseWhenTheDeadlineCannotBeMet() {
		TargetGate gate = openGate(new GateSettings(1, 10, false, true));
		answerRequests(gate, 1, NORMAL_NANOS);
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThat(gate.offer(requestWithin(NORMAL_NANOS + 5 * NANOS_PER_MILLI), this.now))
			.isEqualTo(refusal(2, Refusal.DEADLINE));
		assertThat(gate.offer(requestWithin(2 * NORMAL_NANOS), this.now)).isEmpty();
		this.now += 5 * NANOS_PER_MILLI;
		assertThat(gate.tick(this.now)).isEmpty();
		this.now += 6 * NANOS_PER_MILLI;
		assertThat(gate.tick(this.now)).isEqualTo(refusal(3, Refusal.DEADLINE));
	}

	/**
	 * Guards against an outdated service time that causes every request to be refused.
	 */
	@Test
	void shouldTryAnIdleTargetDespiteASlowEstimate() {
		TargetGate gate = openGate(new GateSettings(1, 10, false, true));
		answerRequests(gate, 1, 100 * NORMAL_NANOS);
		assertThat(gate.offer(requestWithin(NORMAL_NANOS), this.now)).isEqualTo(starts(1));
	}

	/** Guards against refusing requests whose deadline the target would meet. */
	@Test
	void shouldRefuseOnlyRequestsThatWouldMissTheirDeadline() {
		TargetGate gate = openGate(new GateSettings(3, 1000, false, true));
		answerRequests(gate, 20, NORMAL_NANOS);
		long first = this.nextId;
		List<GateEffect> effects = IntStream.range(0, 60)
			.mapToObj((i) -> gate.offer(requestWithin(5 * NORMAL_NANOS), this.now))
			.flatMap(List::stream)
			.toList();
		long refused = effects.stream().filter(GateEffect.Refuse.class::isInstance).count();
		assertThat(refused).isEqualTo(60 - 5 * 3);
		assertThat(effects.subList(0, 3)).isEqualTo(starts(first, first + 1, first + 2));
	}

	/** Guards against starting requests without a gate lease. */
	@Test
	void shouldStartNothingWhileClosed() {
		TargetGate gate = TargetGates.create(GateSettings.of(2, 10), 0);
		assertThat(offerMany(gate, 2, RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(gate.cancel(0, 0)).isEmpty();
		assertThat(gate.setOpen(true, 0)).isEqualTo(starts(1));
		assertThat(gate.setOpen(false, 0)).isEmpty();
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(gate.finished(1, GateResult.ANSWERED, 0)).isEmpty();
	}

	/** Guards against freeing a slot twice and against running a request twice. */
	@Test
	void shouldRejectUnknownAndRepeatedRequests() {
		TargetGate gate = openGate(GateSettings.of(2, 10));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThatIllegalArgumentException()
			.isThrownBy(() -> gate.offer(new GateRequest(0, RequestClass.IDEMPOTENT, DISTANT_DEADLINE), this.now));
		gate.finished(0, GateResult.ANSWERED, this.now);
		assertThatIllegalArgumentException().isThrownBy(() -> gate.finished(0, GateResult.ANSWERED, this.now));
	}

	/** Guards against using all slots of a cold target immediately. */
	@Test
	void shouldGrowFromOneToTheSlotsWhileServiceTimesAreNormal() {
		TargetGate gate = openGate(GateSettings.of(3, 10));
		List<Integer> limits = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			limits.add(gate.status(this.now).limit());
			answerRequests(gate, 1, NORMAL_NANOS);
		}
		assertThat(limits).startsWith(1).isSorted().endsWith(3);
		assertThat(limits.stream().filter((limit) -> limit == 1).count()).isGreaterThanOrEqualTo(8);
		assertThat(gate.status(this.now).warm()).isTrue();
	}

	/** Guards against a limit that stays near 1 because of thread scheduling delays. */
	@Test
	void shouldGrowDespiteVariationBelowAMillisecond() {
		TargetGate gate = openGate(GateSettings.of(16, 10));
		for (int i = 0; i < 480; i++) {
			answerRequests(gate, 1, (i % 48 < 40) ? 200_000 : 900_000);
		}
		assertThat(gate.status(this.now).limit()).isEqualTo(16);
	}

	/** Guards against restarting the ramp after one slow response or one failure. */
	@Test
	void shouldStayWarmAfterOneSlowResponseOrFailure() {
		TargetGate gate = warmGate();
		answerRequests(gate, 1, 100 * NORMAL_NANOS);
		assertThat(gate.status(this.now).warm()).isTrue();
		answerRequests(gate, 1, NORMAL_NANOS);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
		failRequests(gate, 1);
		answerRequests(gate, 10, NORMAL_NANOS);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/**
	 * Guards against full load on a target that became cold, whether or not this was
	 * reported.
	 */
	@Test
	void shouldRestartTheRampWhenTheTargetBecomesCold() {
		TargetGate gateOfSlowTarget = warmGate();
		answerRequests(gateOfSlowTarget, 6, 8 * NORMAL_NANOS);
		assertThat(gateOfSlowTarget.status(this.now).limit()).isEqualTo(1);
		TargetGate gateOfFailingTarget = warmGate();
		failRequests(gateOfFailingTarget, 3);
		assertThat(gateOfFailingTarget.status(this.now).limit()).isEqualTo(1);
		TargetGate notifiedGate = warmGate();
		notifiedGate.restartRamp(this.now);
		assertThat(notifiedGate.status(this.now).limit()).isEqualTo(1);
	}

	/** Guards against raising the limit while every request fails. */
	@Test
	void shouldKeepTheLimitAtOneWhileEveryRequestFails() {
		TargetGate gate = warmGate();
		failRequests(gate, 200);
		assertThat(gate.status(this.now).limit()).isEqualTo(1);
		answerRequests(gate, 400, NORMAL_NANOS);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/**
	 * Guards against treating a healthy target as cold under overload, when requests that
	 * waited long in the queue reach their deadline soon after they start.
	 */
	@Test
	void shouldNotTreatAShortDeadlineAsAColdTarget() {
		TargetGate gate = warmGate();
		loseRequests(gate, 20, NORMAL_NANOS);
		assertThat(gate.status(this.now).warm()).isTrue();
		loseRequests(gate, 5, 10 * NORMAL_NANOS);
		assertThat(gate.status(this.now).warm()).isFalse();
	}

	/** Guards against accepting the service time of an overloaded target as normal. */
	@Test
	void shouldStopGrowingWhenEachStepSlowsTheTargetDown() {
		TargetGate gate = openGate(GateSettings.of(6, 10));
		for (int i = 0; i < 1000; i++) {
			int limit = gate.status(this.now).limit();
			assertThat(limit).isLessThanOrEqualTo(3);
			answerRequests(gate, 1, (long) (NORMAL_NANOS * Math.pow(1.3, limit - 1)));
		}
	}

	/**
	 * Guards against prolonging the ramp by failures of requests from before its restart.
	 */
	@Test
	void shouldIgnoreResultsOfRequestsFromBeforeARestartOfTheRamp() {
		TargetGate gate = warmGate();
		long first = this.nextId;
		offerMany(gate, 3, RequestClass.IDEMPOTENT);
		gate.restartRamp(this.now);
		for (long id = first; id < first + 3; id++) {
			gate.finished(id, GateResult.FAILED, this.now);
		}
		answerRequests(gate, 16, NORMAL_NANOS);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/** Guards against counting cancelled requests as fast responses or as failures. */
	@Test
	void shouldNotMeasureCancelledRequests() {
		TargetGate gate = openGate(GateSettings.of(3, 10));
		for (int i = 0; i < 50; i++) {
			offerMany(gate, 1, RequestClass.IDEMPOTENT);
			gate.finished(this.nextId - 1, (i % 2 == 0) ? GateResult.CANCELLED : GateResult.NOT_SENT, this.now);
		}
		assertThat(gate.status(this.now).limit()).isEqualTo(1);
		assertThat(gate.status(this.now).serviceNanos()).isZero();
	}

	/** Guards against exceeding the limit under a random order of events. */
	@Test
	void shouldNeverExceedTheSlotsUnderRandomEvents() {
		for (int seed = 0; seed < 50; seed++) {
			runRandomEvents(new Random(seed));
		}
	}

	private void runRandomEvents(Random random) {
		int slots = 1 + random.nextInt(6);
		TargetGate gate = openGate(GateSettings.of(slots, 5));
		List<Long> running = new ArrayList<>();
		RequestClass[] classes = RequestClass.values();
		for (int i = 0; i < 2000; i++) {
			this.now += random.nextInt((int) NORMAL_NANOS);
			List<GateEffect> effects = (running.isEmpty() || random.nextBoolean())
					? gate.offer(new GateRequest(this.nextId++, classes[random.nextInt(classes.length)],
							this.now + random.nextLong(20 * NORMAL_NANOS)), this.now)
					: gate.finished(running.remove(random.nextInt(running.size())),
							GateResult.values()[random.nextInt(GateResult.values().length)], this.now);
			effects.stream().filter(GateEffect.Start.class::isInstance).forEach((start) -> running.add(start.id()));
			assertThat(running).hasSizeLessThanOrEqualTo(slots).hasSize(gate.status(this.now).inFlight());
			if (random.nextInt(300) == 0) {
				gate.restartRamp(this.now);
			}
		}
	}

	private TargetGate openGate(GateSettings settings) {
		TargetGate gate = TargetGates.create(settings, this.now);
		gate.setOpen(true, this.now);
		this.nextId = 0;
		return gate;
	}

	private TargetGate warmGate() {
		TargetGate gate = openGate(GateSettings.of(3, 10));
		answerRequests(gate, 100, NORMAL_NANOS);
		assertThat(gate.status(this.now).warm()).isTrue();
		return gate;
	}

	private GateRequest requestWithin(long remainingNanos) {
		return new GateRequest(this.nextId++, RequestClass.IDEMPOTENT, this.now + remainingNanos);
	}

	private List<GateEffect> offerMany(TargetGate gate, int count, RequestClass requestClass) {
		return IntStream.range(0, count)
			.mapToObj((i) -> gate.offer(new GateRequest(this.nextId++, requestClass, DISTANT_DEADLINE), this.now))
			.flatMap(List::stream)
			.toList();
	}

	private void answerRequests(TargetGate gate, int count, long nanos) {
		runRequests(gate, count, nanos, GateResult.ANSWERED);
	}

	private void loseRequests(TargetGate gate, int count, long nanos) {
		for (int i = 0; i < count; i++) {
			long id = this.nextId++;
			gate.offer(new GateRequest(id, RequestClass.IDEMPOTENT, this.now + nanos), this.now);
			this.now += nanos;
			gate.finished(id, GateResult.LOST, this.now);
		}
	}

	private void failRequests(TargetGate gate, int count) {
		runRequests(gate, count, NANOS_PER_MILLI, GateResult.FAILED);
	}

	private void runRequests(TargetGate gate, int count, long nanos, GateResult result) {
		for (int i = 0; i < count; i++) {
			long id = this.nextId++;
			assertThat(gate.offer(new GateRequest(id, RequestClass.IDEMPOTENT, DISTANT_DEADLINE), this.now))
				.isEqualTo(starts(id));
			this.now += nanos;
			gate.finished(id, result, this.now);
		}
	}

	private List<GateEffect> starts(long... ids) {
		return Arrays.stream(ids).<GateEffect>mapToObj(GateEffect.Start::new).toList();
	}

	private List<GateEffect> refusal(long id, Refusal reason) {
		return List.of(new GateEffect.Refuse(id, reason));
	}

}
