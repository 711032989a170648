package org.redwingramp.daemon.internal.route;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.redwingramp.daemon.internal.gate.GateReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests being refused while their key's next owner is being chosen, and
 * against a retry that the budget doesn't bound.
 */
class ReroutingTests {

	private static final GateReply UNREACHABLE = GateReply.failed(Problem.NO_OWNER, "connection refused", 0);

	@Test
	void shouldWaitForTheNextOwnerOfAKey() {
		assertThat(Rerouting.waits(UNREACHABLE, true)).isTrue();
		assertThat(Rerouting.waits(GateReply.refused(Problem.WRONG_GATE, "epoch"), true)).isTrue();
	}

	@Test
	void shouldLeaveRetriesToTheBudget() {
		assertThat(Rerouting.waits(UNREACHABLE, false)).isFalse();
		assertThat(Rerouting.waits(GateReply.failed(Problem.NO_ANSWER, "timeout", 1), true)).isFalse();
		assertThat(Rerouting.waits(GateReply.refused(Problem.QUEUE_FULL, "full"), true)).isFalse();
	}

	@Test
	void shouldBoundThePause() {
		GateReply moved = GateReply.refused(Problem.WRONG_GATE, "epoch");
		assertThat(Rerouting.nextPause(Rerouting.firstPause(), moved)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(20));
		assertThat(Rerouting.nextPause(TimeUnit.MILLISECONDS.toNanos(40), moved))
			.isEqualTo(TimeUnit.MILLISECONDS.toNanos(40));
		assertThat(Rerouting.nextPause(Rerouting.firstPause(), UNREACHABLE))
			.isEqualTo(TimeUnit.MILLISECONDS.toNanos(100));
	}

}
