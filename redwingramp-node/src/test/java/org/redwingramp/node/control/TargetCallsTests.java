package org.redwingramp.node.control;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.node.RepeatingTarget;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.loop.EventLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against grants that are sent after their sender has lost the leadership, and
 * against responses that are taken for those to another call.
 */
@Timeout(20)
class TargetCallsTests {

	private static final long MAX_REPLY_NANOS = 3_000_000_000L;

	private boolean mayGrant = true;

	// The first call loads its classes within its timeout. On a busy machine this takes
	// most of the timeout, so the first call isn't one of those that the tests verify.
	@BeforeAll
	static void loadClasses() throws Exception {
		GrantOutcome outcome = GrantOutcome.UNKNOWN;
		while (outcome != GrantOutcome.CONFIRMED) {
			try (RepeatingTarget target = RepeatingTarget.withoutCopies(response(200, ""))) {
				outcome = callInTurn(target, grant(1)).get(0).outcome();
			}
		}
	}

	/**
	 * Guards against a grant that is queued behind one without a response and is sent
	 * although the keys may be granted to another target with a higher fence by then.
	 */
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

	/**
	 * Guards against a grant that is queued behind one without a response, and reaches
	 * the next incarnation of the target although its lease has ended with the former
	 * one.
	 */
	@Test
	void shouldNotSendQueuedGrantThatIsNoLongerWanted() throws Exception {
		List<GrantOutcome> outcomes = new ArrayList<>();
		AtomicBoolean wanted = new AtomicBoolean(true);
		try (ServerSocket unresponsiveTarget = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
			String address = "127.0.0.1:" + unresponsiveTarget.getLocalPort();
			EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
			TargetCalls calls = new TargetCalls(loop, new TextDialect(), () -> true);
			loop.schedule(0, () -> {
				calls.send(address, grant(1), wanted::get, (reply) -> outcomes.add(reply.outcome()));
				calls.send(address, grant(2), wanted::get, (reply) -> {
					outcomes.add(reply.outcome());
					loop.stop();
				});
				wanted.set(false);
			});
			loop.run();
		}
		assertThat(outcomes).containsExactly(GrantOutcome.UNKNOWN, GrantOutcome.NOT_SENT);
	}

	/**
	 * Guards against keys that are assigned again while their owner works on them: it
	 * confirmed a grant once more where the response to the release was due.
	 */
	@Test
	void shouldNotTakeACopyOfAConfirmationForTheResponseToARelease() throws Exception {
		try (RepeatingTarget target = new RepeatingTarget(response(200, ""), response(200, "Handover: token\r\n"))) {
			List<GrantReply> replies = callInTurn(target, grant(1), release(1));
			assertThat(replies).extracting(GrantReply::outcome)
				.containsExactly(GrantOutcome.CONFIRMED, GrantOutcome.CONFIRMED);
			assertThat(replies.get(1).handover()).contains("token");
			assertThat(target.calls).hasSize(2);
		}
	}

	/**
	 * Guards against a live owner that is forgotten, because a refusal on a kept
	 * connection counts although it may belong to another call.
	 */
	@Test
	void shouldVerifyARefusalOnAKeptConnection() throws Exception {
		try (RepeatingTarget target = RepeatingTarget.withoutCopies(response(200, ""), response(421, ""),
				response(200, ""))) {
			List<GrantReply> replies = callInTurn(target, grant(1), grant(1));
			assertThat(replies).extracting(GrantReply::outcome)
				.containsExactly(GrantOutcome.CONFIRMED, GrantOutcome.CONFIRMED);
			assertThat(target.connections()).isEqualTo(2);
		}
	}

	/**
	 * Guards against a target that loses all its keys, because no grant is sent to it
	 * after one that can't be written.
	 */
	@Test
	void shouldSendGrantsAfterOneThatCanNotBeWritten() throws Exception {
		try (RepeatingTarget target = RepeatingTarget.withoutCopies(response(200, ""))) {
			EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
			TargetCalls calls = new TargetCalls(loop, new TextDialect(), () -> true);
			List<GrantOutcome> outcomes = new ArrayList<>();
			loop.schedule(0, () -> calls.send(target.address(), grant(TextDialect.UNWRITABLE_FENCE), (reply) -> {
			}));
			loop.schedule(0, () -> calls.send(target.address(), grant(1), (reply) -> {
				outcomes.add(reply.outcome());
				loop.stop();
			}));
			loop.schedule(MAX_REPLY_NANOS, loop::stop);
			loop.run();
			assertThat(outcomes).containsExactly(GrantOutcome.CONFIRMED);
		}
	}

	/**
	 * Guards against a lease that waits for a reply without end and is never renewed,
	 * because the next grant to the same target can't be written.
	 */
	@Test
	void shouldReplyToAGrantAlthoughTheNextOneCanNotBeWritten() throws Exception {
		try (RepeatingTarget target = RepeatingTarget.withoutCopies(response(200, ""))) {
			EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
			TargetCalls calls = new TargetCalls(loop, new TextDialect(), () -> true);
			List<GrantOutcome> outcomes = new ArrayList<>();
			loop.schedule(0, () -> {
				calls.send(target.address(), grant(1), (reply) -> {
					outcomes.add(reply.outcome());
					loop.stop();
				});
				calls.send(target.address(), grant(TextDialect.UNWRITABLE_FENCE), (reply) -> {
				});
			});
			loop.schedule(MAX_REPLY_NANOS, loop::stop);
			loop.run();
			assertThat(outcomes).containsExactly(GrantOutcome.CONFIRMED);
		}
	}

	/** Guards against renewals that open a connection each time. */
	@Test
	void shouldRenewOverAKeptConnection() throws Exception {
		try (RepeatingTarget target = RepeatingTarget.withoutCopies(response(200, ""), response(200, ""),
				response(200, ""))) {
			callInTurn(target, grant(1), grant(1), grant(1));
			assertThat(target.calls).hasSize(3);
			assertThat(target.connections()).isEqualTo(1);
		}
	}

	// Sends each call once the previous one has returned.
	private static List<GrantReply> callInTurn(RepeatingTarget target, GrantCall... calls) throws Exception {
		List<GrantReply> replies = new ArrayList<>();
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		TargetCalls sender = new TargetCalls(loop, new TextDialect(), () -> true);
		Deque<GrantCall> remaining = new ArrayDeque<>(List.of(calls));
		Consumer<GrantReply> next = new Consumer<>() {

			@Override
			public void accept(GrantReply reply) {
				replies.add(reply);
				if (remaining.isEmpty()) {
					loop.stop();
				}
				else {
					sender.send(target.address(), remaining.poll(), this);
				}
			}

		};
		loop.schedule(0, () -> sender.send(target.address(), remaining.poll(), next));
		loop.run();
		return replies;
	}

	private static String response(int status, String header) {
		return "HTTP/1.1 " + status + " Status\r\n" + header + "Content-Length: 0\r\n\r\n";
	}

	private static GrantCall release(long fence) {
		return new GrantCall("t", true, 0, 9, fence, 0, Optional.empty());
	}

	private static GrantCall grant(long fence) {
		return new GrantCall("t", false, 0, 9, fence, 3000, Optional.empty());
	}

}
