package org.redwingramp.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.thrift.TProcessor;
import org.apache.thrift.TProcessorFactory;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TTransport;

import org.redwingramp.wire.internal.ConnectionWatch;
import org.redwingramp.wire.internal.FrameTransport;
import org.redwingramp.wire.internal.Listener;
import org.redwingramp.wire.internal.ServerConnection;
import org.redwingramp.wire.internal.WireProtocol;

/**
 * Receives messages from other daemons. Each connection has its own thread, which also
 * runs the handler; this keeps the latency of calls low. Invariants: the handler is
 * invoked only for peers that have the shared key; the number of connections and threads
 * and the memory per connection are bounded. Thread safe.
 */
public final class PeerServer implements AutoCloseable {

	private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

	private static final long IDLE_THREAD_SECONDS = 30;

	private final Listener serverSocket;

	private final ConnectionWatch watch;

	private final TThreadPoolServer server;

	private final ExecutorService workers;

	private final Thread acceptor;

	private PeerServer(Listener serverSocket, ConnectionWatch watch, TProcessorFactory processors,
			ServerSettings settings) {
		this.serverSocket = serverSocket;
		this.watch = watch;
		this.workers = workers(settings.maxConnections() + settings.maxPending());
		this.server = new TThreadPoolServer(new TThreadPoolServer.Args(serverSocket).processorFactory(processors)
			.protocolFactory(WireProtocol.factory(settings.maxFrameBytes()))
			.executorService(this.workers)
			.stopTimeoutVal(1));
		this.acceptor = new Thread(this.server::serve, "wire-accept");
		this.acceptor.setDaemon(true);
		this.acceptor.start();
	}

	/**
	 * Opens the server socket and starts accepting connections.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param self the identity of this daemon
	 * @param handler handles the messages and calls
	 * @param settings the limits and timeouts
	 * @param listener receives events of the connections, for example refusals
	 * @return the running server
	 * @throws IOException if the port can't be opened
	 */
	public static PeerServer open(InetSocketAddress address, LocalPeer self, PeerHandler handler,
			ServerSettings settings, WireListener listener) throws IOException {
		ConnectionWatch watch = new ConnectionWatch("server");
		try {
			Listener serverSocket = new Listener(address, settings, watch, listener);
			TProcessorFactory processors = new TProcessorFactory(null) {
				@Override
				public TProcessor getProcessor(TTransport transport) {
					return new ServerConnection((FrameTransport) transport, serverSocket, self, handler, settings,
							listener);
				}
			};
			return new PeerServer(serverSocket, watch, processors, settings);
		}
		catch (IOException ex) {
			watch.close();
			throw ex;
		}
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return this.serverSocket.address();
	}

	/** Closes the server socket and all connections; calls in progress get no reply. */
	@Override
	public void close() {
		this.server.stop();
		this.serverSocket.close();
		this.watch.close();
		try {
			// The JDK releases the port only after accept() has returned.
			this.acceptor.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ExecutorService workers(int maxThreads) {
		AtomicLong number = new AtomicLong();
		return new ThreadPoolExecutor(0, maxThreads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(),
				(task) -> {
					Thread thread = new Thread(task, "wire-serve-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

}
