package org.redwingramp.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.redwingramp.core.support.ReservedPorts;

/**
 * A peer server and links that connect to it over the loopback interface. Records events
 * and one-way messages. Thread safe.
 */
public final class WireFixture implements PeerHandler, AutoCloseable {

	/** The shared key of the peers. */
	public static final SharedKey KEY = SharedKey.of("0123456789abcdef0123456789abcdef".getBytes());

	static final Duration SECOND = Duration.ofSeconds(1);

	/** Server settings with short timeouts. */
	public static final ServerSettings SERVER = new ServerSettings(5 * 1024 * 1024, 64, 32, 300, 500, 10_000);

	/** The events reported by the server. */
	public final List<WireEvent> serverEvents = new CopyOnWriteArrayList<>();

	/**
	 * As {@link #SERVER}, but with half a minute for the authentication of a connection.
	 */
	public static final ServerSettings LONG_HANDSHAKE = new ServerSettings(5 * 1024 * 1024, 64, 32, 30_000, 10_000,
			10_000);

	/** Link settings with several seconds to open a connection. */
	public static final LinkSettings PATIENT = new LinkSettings(1 << 20, 256, 8, 64, 5000, 100, 250, 3000, 15_000, 20,
			500);

	final List<WireEvent> linkEvents = new CopyOnWriteArrayList<>();

	final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	final PeerLinks links;

	private final ReservedPorts ports = ReservedPorts.reserve();

	private PeerServer server;

	/**
	 * Opens the server and creates the links.
	 * @param settings the server's settings
	 * @throws IOException if the port can't be opened
	 */
	public WireFixture(ServerSettings settings) throws IOException {
		this.server = PeerServer.open(this.ports.address(0), self("gate", "c1"), this, settings,
				this.serverEvents::add);
		this.links = PeerLinks.open(self("entry", "c1"), LinkSettings.DEFAULT, this.linkEvents::add);
	}

	/**
	 * Creates an address on the loopback interface.
	 * @param port the port
	 * @return the address
	 */
	public static InetSocketAddress loopback(int port) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
	}

	/**
	 * Creates the identity of a peer that has the shared key.
	 * @param name the instance name
	 * @param cluster the cluster ID
	 * @return the identity
	 */
	public static LocalPeer self(String name, String cluster) {
		return new LocalPeer(name, 7, () -> cluster, KEY);
	}

	/**
	 * Returns the server's address.
	 * @return the address
	 */
	public String address() {
		return "127.0.0.1:" + this.server.address().getPort();
	}

	/**
	 * Returns the server's port.
	 * @return the port
	 */
	public int port() {
		return this.server.address().getPort();
	}

	void restart() throws IOException {
		this.server.close();
		this.server = PeerServer.open(this.ports.address(0), self("gate", "c1"), this, SERVER, this.serverEvents::add);
	}

	/**
	 * Calls the server.
	 * @param text the payload: {@code refuse} and {@code fail} let the call fail,
	 * {@code freeze} delays its reply, other texts are returned
	 * @return the payload of the reply
	 * @throws CallNotExecutedException if the call was refused
	 * @throws OutcomeUnknownException if the call failed
	 */
	public String call(String text) throws CallNotExecutedException, OutcomeUnknownException {
		return new String(this.links.call(address(), Kind.FORWARD, text.getBytes(), SECOND).payload());
	}

	/**
	 * Waits up to 5 s for an event of a type.
	 * @param events the recorded events
	 * @param type the type of the expected event
	 * @throws InterruptedException if interrupted
	 */
	public static void awaitEvent(List<WireEvent> events, WireEvent.Type type) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (events.stream().noneMatch((event) -> event.type() == type)) {
			if (System.nanoTime() > end) {
				throw new AssertionError("No event " + type + " within 5 s among " + events);
			}
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@Override
	public void messageReceived(Peer sender, Kind kind, byte[] payload) {
		this.received.add(sender.name() + "#" + sender.incarnation() + " " + kind + " " + new String(payload));
	}

	@Override
	public byte[] handleCall(Peer sender, Kind kind, byte[] payload, long deadline) throws CallRefusedException {
		String text = new String(payload);
		if (text.equals("refuse")) {
			throw new CallRefusedException("busy");
		}
		if (text.equals("fail")) {
			throw new IllegalStateException("broken");
		}
		if (text.equals("freeze")) {
			sleep(1500);
		}
		return payload;
	}

	static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() throws IOException {
		this.links.close();
		this.server.close();
		this.ports.close();
	}

}
