package org.redwingramp.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

import org.redwingramp.node.link.Link;
import org.redwingramp.node.loop.LoopExtension;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against bytes of a call that was given up and that the operating system delivers
 * after a partition has healed. A connection that is closed in the orderly way keeps its
 * unsent bytes; only a reset discards them, so the tests check for the reset.
 */
@Timeout(20)
class AbandonedCallTests {

	private static final long CALL_TIMEOUT_NANOS = 200_000_000L;

	@RegisterExtension
	final LoopExtension loops = new LoopExtension();

	/** Guards against renewals that arrive seconds after they timed out. */
	@Test
	void shouldResetTheConnectionOfACallThatTimedOut() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.loops.loop().post(() -> send(target, CALL_TIMEOUT_NANOS));
			assertReset(target);
		}
	}

	/** Guards against requests that run after their caller was told that they failed. */
	@Test
	void shouldResetTheConnectionOfACancelledCall() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.loops.loop().post(() -> {
				TargetConnections.Call call = send(target, 100 * CALL_TIMEOUT_NANOS);
				this.loops.loop().schedule(CALL_TIMEOUT_NANOS, call::cancel);
			});
			assertReset(target);
		}
	}

	/**
	 * Guards against grants that a process writes after it was stalled, when their time
	 * for the connection has passed and the keys may have another owner.
	 */
	@Test
	void shouldNotWriteACallOnAConnectionThatWasEstablishedTooLate() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			OutcomeRecorder recorder = new OutcomeRecorder();
			TargetConnections connections = connections(target);
			this.loops.loop().post(() -> {
				connections.send(request(), CALL_TIMEOUT_NANOS, recorder);
				stallOnceAfterTimers();
			});
			try (Socket socket = target.accept()) {
				assertThatExceptionOfType(SocketException.class).isThrownBy(() -> socket.getInputStream().read());
			}
			assertThat(recorder.outcome.get()).isEqualTo(new CallFailure(CallFailure.Cause.NOT_CONNECTED, false));
		}
	}

	// The connection is established during the stall, and the loop handles that before
	// the timers of the call.
	private void stallOnceAfterTimers() {
		this.loops.loop().afterEachIteration(() -> {
			this.loops.loop().afterEachIteration(() -> {
			});
			LockSupport.parkNanos(2 * CALL_TIMEOUT_NANOS);
		});
	}

	/** Guards against relayed grants that arrive over a link which was replaced. */
	@Test
	void shouldResetALinkThatIsClosed() throws Exception {
		CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
		this.loops.loop().post(() -> {
			try {
				address.complete((InetSocketAddress) this.loops.loop()
					.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (tcp) -> {
						Link link = Link.accepted(tcp, (sender, message) -> {
						}, (closed) -> {
						});
						this.loops.loop().schedule(CALL_TIMEOUT_NANOS, link::close);
						return link;
					})
					.getLocalAddress());
			}
			catch (IOException ex) {
				address.completeExceptionally(ex);
			}
		});
		try (Socket socket = new Socket(address.get().getAddress(), address.get().getPort())) {
			assertThatExceptionOfType(SocketException.class).isThrownBy(() -> socket.getInputStream().read());
		}
	}

	/** Guards against resets that targets see when nothing was given up. */
	@Test
	void shouldCloseAnIdleConnectionInTheOrderlyWay() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			TargetConnections connections = connections(target);
			OutcomeRecorder recorder = new OutcomeRecorder();
			this.loops.loop().post(() -> connections.send(request(), 100 * CALL_TIMEOUT_NANOS, recorder));
			try (Socket socket = target.accept()) {
				InputStream input = socket.getInputStream();
				assertThat(input.read(new byte[1000])).isPositive();
				socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
				assertThat(recorder.outcome.get()).isInstanceOf(HttpResponse.class);
				this.loops.loop().post(connections::closeIdle);
				assertThat(input.read()).isEqualTo(-1);
			}
		}
	}

	// Accepts a connection, reads the call and checks how the connection ends.
	private static void assertReset(ServerSocket target) throws IOException {
		try (Socket socket = target.accept()) {
			InputStream input = socket.getInputStream();
			assertThat(input.read(new byte[1000])).isPositive();
			assertThatExceptionOfType(SocketException.class).isThrownBy(input::read);
		}
	}

	private TargetConnections.Call send(ServerSocket target, long timeoutNanos) {
		return connections(target).send(request(), timeoutNanos, new OutcomeRecorder());
	}

	private TargetConnections connections(ServerSocket target) {
		return new TargetConnections(this.loops.loop(), (InetSocketAddress) target.getLocalSocketAddress(),
				BodyMemoryLimit.forTargetResponses());
	}

	private static HttpRequest request() {
		return new HttpRequest("GET", "/", List.of(new Header("Host", "h")), new byte[0]);
	}

}
