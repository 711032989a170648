package org.redwingramp.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;

import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.LoopThread;

/**
 * An {@link HttpServer} on a loopback address, with an event loop in a thread of its own.
 * It responds to each request with status 200.
 */
final class LoopbackServer implements AutoCloseable {

	final HttpServer server;

	final EventLoop loop = new EventLoop((failure) -> failure.printStackTrace());

	private final InetSocketAddress address;

	LoopbackServer(HttpLimits limits) throws IOException {
		this.server = HttpServer.create(() -> limits, (exchange) -> exchange.respond(HttpResponse.empty(200)));
		ServerSocketChannel socket = this.loop.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.address = (InetSocketAddress) socket.getLocalAddress();
		this.server.accept(this.loop, socket);
		LoopThread.start(this.loop);
	}

	Socket connect() throws IOException {
		return new Socket(this.address.getAddress(), this.address.getPort());
	}

	@Override
	public void close() {
		this.loop.stop();
	}

}
