package org.redwingramp.node.control;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.loop.EventLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a grant that is queued behind one without a response and is sent after
 * its sender has lost the leadership, for example because the process was suspended. By
 * then the keys may be granted to another target with a higher fence.
 */
@Timeout(20)
class TargetCallsTests {

	private boolean mayGrant = true;

	@Test
	void shouldNotSendQueuedGrantAfterLossOfLeadership() throws Exception {
		List<GrantOutcome> outcomes = new ArrayList<>();
		try (ServerSocket unresponsiveTarget = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
			String address = "127.0.0.1:" + unresponsiveTarget.getLocalPort();
			EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
			TargetCalls calls = new TargetCalls(loop, new TextDialect(), () -> this.mayGrant);
			loop.schedule(0, () -> {
				calls.send(address, grant(1), (reply) -> outcomes.add(reply.outcome()));
				calls.send(address, grant(2), (reply) -> {
					outcomes.add(reply.outcome());
					loop.stop();
				});
				this.mayGrant = false;
			});
			loop.run();
		}
		assertThat(outcomes).containsExactly(GrantOutcome.UNKNOWN, GrantOutcome.NOT_SENT);
	}

	private static GrantCall grant(long fence) {
		return new GrantCall("t", false, 0, 9, fence, 3000, Optional.empty());
	}

}
