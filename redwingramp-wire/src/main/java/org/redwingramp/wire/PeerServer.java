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
 * Receives messages from other daemons. Each connection has a thread that also runs the
 * handler, which keeps the delay of a call low. Invariants: the handler is invoked only
 * for peers with the shared key; the number of connections, threads and the memory for
 * each are bounded. Thread safe.
 */
public final class PeerServer implements AutoCloseable {

	private static final long MAX_CLOSE_MILLIS = 2_000;

	private static final long SPARE_THREAD_SECONDS = 30;

	private final Listener port;

	private final ConnectionWatch watch;

	private final TThreadPoolServer server;

	private final ExecutorService workers;

	private final Thread acceptor;

	private PeerServer(Listener port, ConnectionWatch watch, TProcessorFactory processors, ServerSettings settings) {
		this.port = port;
		this.watch = watch;
		this.workers = workers(settings.maxConnections() + settings.maxPending());
		this.server = new TThreadPoolServer(new TThreadPoolServer.Args(port).processorFactory(processors)
			.protocolFactory(WireProtocol.factory(settings.maxFrameBytes()))
			.executorService(this.workers)
			.stopTimeoutVal(1));
		this.acceptor = new Thread(this.server::serve, "wire-accept");
		this.acceptor.setDaemon(true);
		this.acceptor.start();
	}

	/**
	 * Opens a port and begins to receive.
	 * @param address the address to listen on; port 0 picks a free one
	 * @param self how this daemon presents itself
	 * @param handler receives the messages
	 * @param settings the limits
	 * @param listener is told of refused connections
	 * @return the running server
	 * @throws IOException if the port can't be opened
	 */
	public static PeerServer open(InetSocketAddress address, LocalPeer self, PeerHandler handler,
			ServerSettings settings, WireListener listener) throws IOException {
		ConnectionWatch watch = new ConnectionWatch("server");
		try {
			Listener port = new Listener(address, settings, watch, listener);
			TProcessorFactory processors = new TProcessorFactory(null) {
				@Override
				public TProcessor getProcessor(TTransport transport) {
					return new ServerConnection((FrameTransport) transport, port, self, handler, settings, listener);
				}
			};
			return new PeerServer(port, watch, processors, settings);
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
		return this.port.address();
	}

	/** Closes the port and all connections; calls in progress have no answer. */
	@Override
	public void close() {
		this.server.stop();
		this.port.close();
		this.watch.close();
		try {
			// The JDK frees the port only once the accepting thread has returned.
			this.acceptor.join(MAX_CLOSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ExecutorService workers(int maxThreads) {
		AtomicLong number = new AtomicLong();
		return new ThreadPoolExecutor(0, maxThreads, SPARE_THREAD_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(),
				(task) -> {
					Thread thread = new Thread(task, "wire-serve-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

}
