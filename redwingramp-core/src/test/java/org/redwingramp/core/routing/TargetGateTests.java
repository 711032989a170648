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

	private static final long MILLIS = 1_000_000;

	private static final long NORMAL = 10 * MILLIS;

	private static final long FAR = Long.MAX_VALUE / 2;

	private long now;

	private long nextId;

	/** Guards against more concurrent requests than a target has slots. */
	@Test
	void shouldHoldRequestsAboveTheSlots() {
		TargetGate gate = open(new GateSettings(3, 10, false, true));
		assertThat(offerMany(gate, 5, RequestClass.IDEMPOTENT)).isEqualTo(starts(0, 1, 2));
		assertThat(gate.finished(1, GateResult.ANSWERED, this.now)).isEqualTo(starts(3));
		assertThat(gate.status(this.now).inFlight()).isEqualTo(3);
		assertThat(gate.status(this.now).waiting()).isEqualTo(1);
	}

	/** Guards against a deferrable request that starts before one that can't wait. */
	@Test
	void shouldStartDeferrableRequestsLast() {
		TargetGate gate = open(new GateSettings(1, 10, false, true));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		offerMany(gate, 1, RequestClass.DEFERRABLE);
		offerMany(gate, 1, RequestClass.AT_MOST_ONCE);
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThat(gate.finished(0, GateResult.ANSWERED, this.now)).isEqualTo(starts(2));
		assertThat(gate.finished(2, GateResult.ANSWERED, this.now)).isEqualTo(starts(3));
		assertThat(gate.finished(3, GateResult.ANSWERED, this.now)).isEqualTo(starts(1));
	}

	/** Guards against a queue without bound, and one that deferrable requests fill. */
	@Test
	void shouldDisplaceTheYoungestDeferrableRequestFromAFullQueue() {
		TargetGate gate = open(new GateSettings(1, 2, false, true));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		offerMany(gate, 2, RequestClass.DEFERRABLE);
		assertThat(offerMany(gate, 1, RequestClass.DEFERRABLE)).isEqualTo(refuse(3, Refusal.QUEUE_FULL));
		assertThat(offerMany(gate, 1, RequestClass.AT_MOST_ONCE)).isEqualTo(refuse(2, Refusal.DISPLACED));
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEqualTo(refuse(1, Refusal.DISPLACED));
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEqualTo(refuse(6, Refusal.QUEUE_FULL));
	}

	/** Guards against work for answers that come after their deadline. */
	@Test
	void shouldRefuseWhenTheDeadlineCannotBeMet() {
		TargetGate gate = open(new GateSettings(1, 10, false, true));
		answer(gate, 1, NORMAL);
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThat(gate.offer(request(NORMAL + 5 * MILLIS), this.now)).isEqualTo(refuse(2, Refusal.DEADLINE));
		assertThat(gate.offer(request(2 * NORMAL), this.now)).isEmpty();
		this.now += 5 * MILLIS;
		assertThat(gate.tick(this.now)).isEmpty();
		this.now += 6 * MILLIS;
		assertThat(gate.tick(this.now)).isEqualTo(refuse(3, Refusal.DEADLINE));
	}

	/** Guards against an outdated service time that refuses every request for ever. */
	@Test
	void shouldTryAnIdleTargetInSpiteOfItsSlowEstimate() {
		TargetGate gate = open(new GateSettings(1, 10, false, true));
		answer(gate, 1, 100 * NORMAL);
		assertThat(gate.offer(request(NORMAL), this.now)).isEqualTo(starts(1));
	}

	/** Guards against refusals of requests whose deadline the target would meet. */
	@Test
	void shouldRefuseOnlyRequestsThatWouldBeLate() {
		TargetGate gate = open(new GateSettings(3, 1000, false, true));
		answer(gate, 20, NORMAL);
		long first = this.nextId;
		List<GateEffect> effects = IntStream.range(0, 60)
			.mapToObj((i) -> gate.offer(request(5 * NORMAL), this.now))
			.flatMap(List::stream)
			.toList();
		long refused = effects.stream().filter(GateEffect.Refuse.class::isInstance).count();
		assertThat(refused).isEqualTo(60 - 5 * 3);
		assertThat(effects.subList(0, 3)).isEqualTo(starts(first, first + 1, first + 2));
	}

	/** Guards against requests that start without a gate lease. */
	@Test
	void shouldStartNothingWhileClosed() {
		TargetGate gate = TargetGates.create(GateSettings.of(2, 10), 0);
		assertThat(offerMany(gate, 2, RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(gate.cancel(0, 0)).isEmpty();
		assertThat(gate.open(true, 0)).isEqualTo(starts(1));
		assertThat(gate.open(false, 0)).isEmpty();
		assertThat(offerMany(gate, 1, RequestClass.IDEMPOTENT)).isEmpty();
		assertThat(gate.finished(1, GateResult.ANSWERED, 0)).isEmpty();
	}

	/** Guards against a slot that is freed twice or a request that runs twice. */
	@Test
	void shouldRejectUnknownAndRepeatedRequests() {
		TargetGate gate = open(GateSettings.of(2, 10));
		offerMany(gate, 1, RequestClass.IDEMPOTENT);
		assertThatIllegalArgumentException()
			.isThrownBy(() -> gate.offer(new GateRequest(0, RequestClass.IDEMPOTENT, FAR), this.now));
		gate.finished(0, GateResult.ANSWERED, this.now);
		assertThatIllegalArgumentException().isThrownBy(() -> gate.finished(0, GateResult.ANSWERED, this.now));
	}

	/** Guards against a cold target that gets all its slots' work at once. */
	@Test
	void shouldGrowFromOneToTheSlotsWithAnswersAtNormalSpeed() {
		TargetGate gate = open(GateSettings.of(3, 10));
		List<Integer> limits = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			limits.add(gate.status(this.now).limit());
			answer(gate, 1, NORMAL);
		}
		assertThat(limits).startsWith(1).isSorted().endsWith(3);
		assertThat(limits.stream().filter((limit) -> limit == 1).count()).isGreaterThanOrEqualTo(8);
		assertThat(gate.status(this.now).warm()).isTrue();
	}

	/** Guards against a limit that stays near 1 because of scheduling noise. */
	@Test
	void shouldGrowInSpiteOfNoiseBelowAMillisecond() {
		TargetGate gate = open(GateSettings.of(16, 10));
		for (int i = 0; i < 480; i++) {
			answer(gate, 1, (i % 48 < 40) ? 200_000 : 900_000);
		}
		assertThat(gate.status(this.now).limit()).isEqualTo(16);
	}

	/** Guards against a ramp that one slow answer or one failure restarts. */
	@Test
	void shouldStayWarmAfterOneSlowAnswer() {
		TargetGate gate = warm();
		answer(gate, 1, 100 * NORMAL);
		assertThat(gate.status(this.now).warm()).isTrue();
		answer(gate, 1, NORMAL);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
		fail(gate, 1);
		answer(gate, 10, NORMAL);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/** Guards against full load on a target that turned cold without warning. */
	@Test
	void shouldRestartTheRampWhenTheTargetTurnsCold() {
		TargetGate slow = warm();
		answer(slow, 6, 8 * NORMAL);
		assertThat(slow.status(this.now).limit()).isEqualTo(1);
		TargetGate failing = warm();
		fail(failing, 3);
		assertThat(failing.status(this.now).limit()).isEqualTo(1);
		TargetGate told = warm();
		told.cold(this.now);
		assertThat(told.status(this.now).limit()).isEqualTo(1);
	}

	/** Guards against growth during a storm of failures. */
	@Test
	void shouldStayAtOneWhileEveryRequestFails() {
		TargetGate gate = warm();
		fail(gate, 200);
		assertThat(gate.status(this.now).limit()).isEqualTo(1);
		answer(gate, 400, NORMAL);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/**
	 * Guards against an overload in which requests that waited long reach their deadline
	 * right after their start and make a healthy target look cold.
	 */
	@Test
	void shouldNotTakeAShortDeadlineForAColdTarget() {
		TargetGate gate = warm();
		lose(gate, 20, NORMAL);
		assertThat(gate.status(this.now).warm()).isTrue();
		lose(gate, 5, 10 * NORMAL);
		assertThat(gate.status(this.now).warm()).isFalse();
	}

	/** Guards against an overloaded speed that passes as normal step by step. */
	@Test
	void shouldNotGrowIntoASpeedThatFallsWithEachStep() {
		TargetGate gate = open(GateSettings.of(6, 10));
		for (int i = 0; i < 1000; i++) {
			int limit = gate.status(this.now).limit();
			assertThat(limit).isLessThanOrEqualTo(3);
			answer(gate, 1, (long) (NORMAL * Math.pow(1.3, limit - 1)));
		}
	}

	/** Guards against late failures from before a restart that prolong the ramp. */
	@Test
	void shouldIgnoreAnswersFromBeforeARestartOfTheRamp() {
		TargetGate gate = warm();
		long first = this.nextId;
		offerMany(gate, 3, RequestClass.IDEMPOTENT);
		gate.cold(this.now);
		for (long id = first; id < first + 3; id++) {
			gate.finished(id, GateResult.FAILED, this.now);
		}
		answer(gate, 16, NORMAL);
		assertThat(gate.status(this.now).limit()).isEqualTo(3);
	}

	/** Guards against cancelled requests that count as fast answers or as failures. */
	@Test
	void shouldLearnNothingFromCancelledRequests() {
		TargetGate gate = open(GateSettings.of(3, 10));
		for (int i = 0; i < 50; i++) {
			offerMany(gate, 1, RequestClass.IDEMPOTENT);
			gate.finished(this.nextId - 1, (i % 2 == 0) ? GateResult.CANCELLED : GateResult.NOT_SENT, this.now);
		}
		assertThat(gate.status(this.now).limit()).isEqualTo(1);
		assertThat(gate.status(this.now).serviceNanos()).isZero();
	}

	/** Guards against a violated limit under any order of events. */
	@Test
	void shouldNeverExceedTheSlotsInRandomOrder() {
		for (int seed = 0; seed < 50; seed++) {
			randomRun(new Random(seed));
		}
	}

	private void randomRun(Random random) {
		int slots = 1 + random.nextInt(6);
		TargetGate gate = open(GateSettings.of(slots, 5));
		List<Long> running = new ArrayList<>();
		RequestClass[] classes = RequestClass.values();
		for (int i = 0; i < 2000; i++) {
			this.now += random.nextInt((int) NORMAL);
			List<GateEffect> effects = (running.isEmpty() || random.nextBoolean())
					? gate.offer(new GateRequest(this.nextId++, classes[random.nextInt(classes.length)],
							this.now + random.nextLong(20 * NORMAL)), this.now)
					: gate.finished(running.remove(random.nextInt(running.size())),
							GateResult.values()[random.nextInt(GateResult.values().length)], this.now);
			effects.stream().filter(GateEffect.Start.class::isInstance).forEach((start) -> running.add(start.id()));
			assertThat(running).hasSizeLessThanOrEqualTo(slots).hasSize(gate.status(this.now).inFlight());
			if (random.nextInt(300) == 0) {
				gate.cold(this.now);
			}
		}
	}

	private TargetGate open(GateSettings settings) {
		TargetGate gate = TargetGates.create(settings, this.now);
		gate.open(true, this.now);
		this.nextId = 0;
		return gate;
	}

	private TargetGate warm() {
		TargetGate gate = open(GateSettings.of(3, 10));
		answer(gate, 100, NORMAL);
		assertThat(gate.status(this.now).warm()).isTrue();
		return gate;
	}

	private GateRequest request(long remaining) {
		return new GateRequest(this.nextId++, RequestClass.IDEMPOTENT, this.now + remaining);
	}

	private List<GateEffect> offerMany(TargetGate gate, int count, RequestClass requestClass) {
		return IntStream.range(0, count)
			.mapToObj((i) -> gate.offer(new GateRequest(this.nextId++, requestClass, FAR), this.now))
			.flatMap(List::stream)
			.toList();
	}

	private void answer(TargetGate gate, int count, long nanos) {
		run(gate, count, nanos, GateResult.ANSWERED);
	}

	private void lose(TargetGate gate, int count, long nanos) {
		for (int i = 0; i < count; i++) {
			long id = this.nextId++;
			gate.offer(new GateRequest(id, RequestClass.IDEMPOTENT, this.now + nanos), this.now);
			this.now += nanos;
			gate.finished(id, GateResult.LOST, this.now);
		}
	}

	private void fail(TargetGate gate, int count) {
		run(gate, count, MILLIS, GateResult.FAILED);
	}

	private void run(TargetGate gate, int count, long nanos, GateResult result) {
		for (int i = 0; i < count; i++) {
			long id = this.nextId++;
			assertThat(gate.offer(new GateRequest(id, RequestClass.IDEMPOTENT, FAR), this.now)).isEqualTo(starts(id));
			this.now += nanos;
			gate.finished(id, result, this.now);
		}
	}

	private List<GateEffect> starts(long... ids) {
		return Arrays.stream(ids).<GateEffect>mapToObj(GateEffect.Start::new).toList();
	}

	private List<GateEffect> refuse(long id, Refusal reason) {
		return List.of(new GateEffect.Refuse(id, reason));
	}

}
