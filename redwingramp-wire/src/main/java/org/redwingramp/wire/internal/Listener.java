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
 * Accepts connections and bounds their number. Invariant: at most
 * {@code settings.maxPending()} connections are not authenticated, so strangers can't use
 * up the connections of peers. Thread safe.
 */
public final class Listener extends TServerTransport {

	/** The largest frame before authentication; a hello or ping has about 200 bytes. */
	static final int MAX_PENDING_FRAME_BYTES = 4096;

	/**
	 * The queue of the operating system. A full one makes it drop packets, and the peer
	 * tries again only after a second.
	 */
	private static final int BACKLOG = 1024;

	private static final long RETRY_NANOS = 10_000_000;

	private final ServerSocketChannel channel;

	private final ServerSettings settings;

	private final ConnectionWatch watch;

	private final WireListener listener;

	private final AtomicInteger open = new AtomicInteger();

	private final Set<FrameTransport> pending = new LinkedHashSet<>();

	/**
	 * Opens the port.
	 * @param address the address to listen on
	 * @param settings the limits
	 * @param watch closes overdue connections
	 * @param listener is told of refused connections
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
	 * Returns the address of the port.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.channel.socket().getLocalSocketAddress();
	}

	@Override
	public void listen() {
		// The port is open from the start.
	}

	@Override
	public FrameTransport accept() throws TTransportException {
		while (true) {
			try {
				SocketChannel accepted = this.channel.accept();
				if (this.open.get() < this.settings.maxConnections() + this.settings.maxPending()) {
					return admit(accepted);
				}
				refuse(accepted.getRemoteAddress().toString());
				accepted.close();
			}
			catch (IOException ex) {
				if (!this.channel.isOpen()) {
					throw new TTransportException(TTransportException.NOT_OPEN, "The port is closed");
				}
				// Waits, since a lack of file descriptors ends only when others close.
				LockSupport.parkNanos(RETRY_NANOS);
			}
		}
	}

	private FrameTransport admit(SocketChannel accepted) throws IOException, TTransportException {
		FrameTransport[] holder = new FrameTransport[1];
		FrameTransport transport = new FrameTransport(accepted, MAX_PENDING_FRAME_BYTES, this.watch, () -> {
			this.open.decrementAndGet();
			authenticated(holder[0]);
		});
		holder[0] = transport;
		this.open.incrementAndGet();
		transport.deadline(TimeUnit.MILLISECONDS.toNanos(this.settings.handshakeMillis()));
		makeRoom();
		synchronized (this.pending) {
			this.pending.add(transport);
		}
		return transport;
	}

	private void makeRoom() {
		FrameTransport oldest = null;
		synchronized (this.pending) {
			if (this.pending.size() >= this.settings.maxPending()) {
				Iterator<FrameTransport> iterator = this.pending.iterator();
				oldest = iterator.next();
				iterator.remove();
			}
		}
		if (oldest != null) {
			refuse(oldest.address());
			oldest.close();
		}
	}

	void authenticated(FrameTransport transport) {
		synchronized (this.pending) {
			this.pending.remove(transport);
		}
	}

	private void refuse(String address) {
		this.listener.happened(
				new WireEvent(WireEvent.Type.TOO_MANY_CONNECTIONS, address, this.open.get() + " connections are open"));
	}

	@Override
	public void close() {
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// The port is closed either way.
		}
	}

	@Override
	public void interrupt() {
		close();
	}

}
