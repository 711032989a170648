package org.redwingramp.wire.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.apache.thrift.transport.TServerTransport;
import org.apache.thrift.transport.TTransportException;

import org.redwingramp.wire.ServerSettings;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireListener;

/**
 * Server socket that accepts connections and limits their number. Invariant: at most
 * {@code settings.maxPending()} connections are not authenticated, so unauthenticated
 * clients can't exhaust the connections reserved for peers. Thread safe.
 */
public final class Listener extends TServerTransport {

	/**
	 * The maximum size of a frame before authentication; a hello or ping has about 200
	 * bytes.
	 */
	static final int MAX_PENDING_FRAME_BYTES = 4096;

	/**
	 * The length of the operating system's queue of connections to be accepted. If it is
	 * full, packets are dropped and the peer retransmits them only after a second.
	 */
	private static final int BACKLOG = 1024;

	private static final long ACCEPT_RETRY_NANOS = 10_000_000;

	private final ServerSocketChannel channel;

	private final ServerSettings settings;

	private final ConnectionWatch watch;

	private final WireListener listener;

	private final AtomicInteger open = new AtomicInteger();

	private final Set<FrameTransport> pending = new LinkedHashSet<>();

	/**
	 * Opens the server socket.
	 * @param address the address to listen on
	 * @param settings the limits
	 * @param watch closes connections whose deadline has passed
	 * @param listener receives events of refused connections
	 * @throws IOException if the port can't be opened
	 */
	public Listener(InetSocketAddress address, ServerSettings settings, ConnectionWatch watch, WireListener listener)
			throws IOException {
		this.settings = settings;
		this.watch = watch;
		this.listener = listener;
		this.channel = ServerSocketChannel.open();
		this.channel.bind(address, BACKLOG);
	}

	/**
	 * Returns the address that the server socket is bound to.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.channel.socket().getLocalSocketAddress();
	}

	@Override
	public void listen() {
		// The constructor has already opened the server socket.
	}

	@Override
	public FrameTransport accept() throws TTransportException {
		while (true) {
			try {
				SocketChannel accepted = this.channel.accept();
				if (this.open.get() < this.settings.maxConnections() + this.settings.maxPending()) {
					return register(accepted);
				}
				reportTooManyConnections(accepted.getRemoteAddress().toString());
				accepted.close();
			}
			catch (IOException ex) {
				if (!this.channel.isOpen()) {
					throw new TTransportException(TTransportException.NOT_OPEN, "The server socket is closed");
				}
				// Waits before the next attempt: if file descriptors are exhausted,
				// accept() fails until another connection is closed.
				LockSupport.parkNanos(ACCEPT_RETRY_NANOS);
			}
		}
	}

	private FrameTransport register(SocketChannel accepted) throws IOException, TTransportException {
		FrameTransport[] holder = new FrameTransport[1];
		FrameTransport transport = new FrameTransport(accepted, MAX_PENDING_FRAME_BYTES, this.watch, () -> {
			this.open.decrementAndGet();
			removePending(holder[0]);
		});
		holder[0] = transport;
		this.open.incrementAndGet();
		transport.closeAfter(TimeUnit.MILLISECONDS.toNanos(this.settings.handshakeMillis()));
		evictOldestPending();
		synchronized (this.pending) {
			this.pending.add(transport);
		}
		return transport;
	}

	private void evictOldestPending() {
		FrameTransport oldest = null;
		synchronized (this.pending) {
			if (this.pending.size() >= this.settings.maxPending()) {
				Iterator<FrameTransport> iterator = this.pending.iterator();
				oldest = iterator.next();
				iterator.remove();
			}
		}
		if (oldest != null) {
			reportTooManyConnections(oldest.address());
			oldest.close();
		}
	}

	void removePending(FrameTransport transport) {
		synchronized (this.pending) {
			this.pending.remove(transport);
		}
	}

	private void reportTooManyConnections(String address) {
		this.listener.onEvent(new WireEvent(WireEvent.Type.TOO_MANY_CONNECTIONS, address,
				this.open.get() + " of " + (this.settings.maxConnections() + this.settings.maxPending())
						+ " connections are open, of which at most " + this.settings.maxPending()
						+ " may be unauthenticated"));
	}

	@Override
	public void close() {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// The server socket can't be used any more even if closing fails.
		}
	}

	@Override
	public void interrupt() {
		close();
	}

}
