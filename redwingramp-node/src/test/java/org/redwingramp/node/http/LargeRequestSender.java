package org.redwingramp.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

import org.redwingramp.node.loop.EventLoop;

/**
 * A process that sends one large request to a port of this machine and waits for the
 * response.
 */
public final class LargeRequestSender {

	static final int BODY_BYTES = 150_000;

	private static final long MAX_CALL_NANOS = 15_000_000_000L;

	private LargeRequestSender() {
	}

	/**
	 * Runs the process.
	 * @param arguments the port
	 * @throws IOException if the event loop fails
	 */
	public static void main(String[] arguments) throws IOException {
		EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());
		InetSocketAddress target = new InetSocketAddress(InetAddress.getLoopbackAddress(),
				Integer.parseInt(arguments[0]));
		HttpRequest request = new HttpRequest("POST", "/",
				List.of(new Header("Host", "h"), new Header("Content-Length", Integer.toString(BODY_BYTES))),
				new byte[BODY_BYTES]);
		loop.schedule(0, () -> new TargetConnections(loop, target, BodyMemoryLimit.forTargetResponses()).send(request,
				MAX_CALL_NANOS, new OutcomeRecorder()));
		loop.schedule(MAX_CALL_NANOS, loop::stop);
		loop.run();
	}

}
