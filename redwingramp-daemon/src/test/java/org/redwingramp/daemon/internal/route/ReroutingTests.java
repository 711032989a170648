package org.redwingramp.daemon.internal.route;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.redwingramp.daemon.internal.gate.GateReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusing requests while the next owner of their key is being assigned,
 * and against retries outside the retry budget.
 */
class ReroutingTests {

	private static final GateReply UNREACHABLE = GateReply.failed(Problem.NO_OWNER, "connection refused", 0);

	@Test
	void shouldWaitForTheNextOwnerOfAKey() {
		assertThat(Rerouting.awaitsNewerView(UNREACHABLE, true)).isTrue();
		assertThat(Rerouting.awaitsNewerView(GateReply.refused(Problem.WRONG_GATE, "epoch"), true)).isTrue();
	}

	@Test
	void shouldNotAwaitNewerViewWhereARetryIsNeeded() {
		assertThat(Rerouting.awaitsNewerView(UNREACHABLE, false)).isFalse();
		assertThat(Rerouting.awaitsNewerView(GateReply.failed(Problem.NO_ANSWER, "timeout", 1), true)).isFalse();
		assertThat(Rerouting.awaitsNewerView(GateReply.refused(Problem.QUEUE_FULL, "full"), true)).isFalse();
	}

	@Test
	void shouldLimitThePause() {
		GateReply wrongGate = GateReply.refused(Problem.WRONG_GATE, "epoch");
		assertThat(Rerouting.nextPause(Rerouting.firstPause(), wrongGate)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(20));
		assertThat(Rerouting.nextPause(TimeUnit.MILLISECONDS.toNanos(40), wrongGate))
			.isEqualTo(TimeUnit.MILLISECONDS.toNanos(40));
		assertThat(Rerouting.nextPause(Rerouting.firstPause(), UNREACHABLE))
			.isEqualTo(TimeUnit.MILLISECONDS.toNanos(100));
	}

}
