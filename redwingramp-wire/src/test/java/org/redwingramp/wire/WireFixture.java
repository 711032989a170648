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

/**
 * A server, links and recorded events on loopback. Thread safe.
 */
final class WireFixture implements PeerHandler, AutoCloseable {

	static final SharedKey KEY = SharedKey.of("0123456789abcdef0123456789abcdef".getBytes());

	static final Duration SECOND = Duration.ofSeconds(1);

	static final ServerSettings SERVER = new ServerSettings(5 * 1024 * 1024, 64, 4, 300, 500, 10_000);

	final List<WireEvent> serverEvents = new CopyOnWriteArrayList<>();

	final List<WireEvent> linkEvents = new CopyOnWriteArrayList<>();

	final BlockingQueue<String> delivered = new LinkedBlockingQueue<>();

	final PeerLinks links;

	private PeerServer server;

	WireFixture(ServerSettings settings) throws IOException {
		this.server = PeerServer.open(loopback(0), self("gate", "c1"), this, settings, this.serverEvents::add);
		this.links = PeerLinks.open(self("entry", "c1"), LinkSettings.DEFAULT, this.linkEvents::add);
	}

	static InetSocketAddress loopback(int port) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
	}

	static LocalPeer self(String name, String cluster) {
		return new LocalPeer(name, 7, () -> cluster, KEY);
	}

	String address() {
		return "127.0.0.1:" + this.server.address().getPort();
	}

	void restart() throws IOException {
		int port = this.server.address().getPort();
		this.server.close();
		this.server = PeerServer.open(loopback(port), self("gate", "c1"), this, SERVER, this.serverEvents::add);
	}

	String call(String text) throws NotSentException, OutcomeUnknownException {
		return new String(this.links.call(address(), Kind.FORWARD, text.getBytes(), SECOND).payload());
	}

	void awaitEvent(List<WireEvent> events, WireEvent.Type type) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (events.stream().noneMatch((event) -> event.type() == type)) {
			if (System.nanoTime() > end) {
				throw new AssertionError("No event " + type + " among " + events);
			}
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

	@Override
	public void delivered(Peer sender, Kind kind, byte[] payload) {
		this.delivered.add(sender.name() + "#" + sender.incarnation() + " " + kind + " " + new String(payload));
	}

	@Override
	public byte[] called(Peer sender, Kind kind, byte[] payload, long deadline) throws CallRefusedException {
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
	public void close() {
		this.links.close();
		this.server.close();
	}

}
