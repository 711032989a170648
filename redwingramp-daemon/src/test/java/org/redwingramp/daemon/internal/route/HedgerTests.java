package org.redwingramp.daemon.internal.route;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.Test;

import org.redwingramp.daemon.internal.gate.GateReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reporting a hedged request as not run although its second send, which
 * got no answer, may have run.
 */
class HedgerTests {

	@Test
	void shouldReportUnknownWhenTheSecondSendMayHaveRun() {
		ExecutorService executor = Executors.newCachedThreadPool();
		try {
			CountDownLatch secondSent = new CountDownLatch(1);
			GateReply reply = new Hedger(executor).send(1, () -> refuseAfter(secondSent), () -> {
				secondSent.countDown();
				return Optional.of(GateReply.failed(Problem.NO_ANSWER, "timeout", 1));
			});
			assertThat(reply.problem()).contains(Problem.NO_ANSWER);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static GateReply refuseAfter(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return GateReply.refused(Problem.QUEUE_FULL, "full");
	}

}
