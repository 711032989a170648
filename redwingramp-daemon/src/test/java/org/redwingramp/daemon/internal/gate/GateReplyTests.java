package org.redwingramp.daemon.internal.gate;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.redwingramp.daemon.internal.route.Problem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the reply "not run" to a request of which an earlier attempt may have
 * run.
 */
class GateReplyTests {

	private static final GateReply REFUSED = GateReply.refused(Problem.QUEUE_FULL, "full");

	private static final GateReply UNKNOWN = GateReply.failed(Problem.NO_ANSWER, "timeout", 1);

	private static final GateReply ANSWERED = GateReply.answered(200, List.of(), new byte[0], 1);

	@Test
	void shouldStayUnknownWhenALaterAttemptIsRefused() {
		assertThat(REFUSED.combineWithEarlier(UNKNOWN)).isSameAs(UNKNOWN);
	}

	@Test
	void shouldReturnTheLaterReplyOtherwise() {
		assertThat(REFUSED.combineWithEarlier(REFUSED)).isSameAs(REFUSED);
		assertThat(ANSWERED.combineWithEarlier(UNKNOWN)).isSameAs(ANSWERED);
		assertThat(UNKNOWN.combineWithEarlier(REFUSED)).isSameAs(UNKNOWN);
	}

}
