package org.redwingramp.node.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;

/**
 * The links from this control replica to the others. Each replica opens its own link to
 * each peer and sends over that link only. Invariant: a link over which nothing is
 * received for {@link #UNRESPONSIVE_NANOS} is replaced. Not thread safe; confined to the
 * event loop's thread.
 */
final class PeerLinks {

	private static final long MILLISECOND = 1_000_000L;

	/** Interval between two hello messages; the peer replies to each of them. */
	private static final long HELLO_INTERVAL_NANOS = 400 * MILLISECOND;

	/** A link over which nothing was received for longer is closed as dead. */
	private static final long UNRESPONSIVE_NANOS = 1200 * MILLISECOND;

	/**
	 * Delay before a new connection to a replica whose link failed. Short, since replicas
	 * that start together begin to listen within a few tenths of a second of each other.
	 */
	private static final long RECONNECT_DELAY_NANOS = 100 * MILLISECOND;

	private final EventLoop loop;

	private final ControlSettings settings;

	private final Supplier<LinkMessage.ReplicaHello> hello;

	private final Consumer<LinkMessage> receiver;

	private final EventWriter events;

	private final Set<String> peerNames = new TreeSet<>();

	private final Map<String, Link> links = new HashMap<>();

	private final Set<String> established = new TreeSet<>();

	private final Set<String> reconnecting = new TreeSet<>();

	private boolean closed;

	PeerLinks(EventLoop loop, ControlSettings settings, Supplier<LinkMessage.ReplicaHello> hello,
			Consumer<LinkMessage> receiver, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.hello = hello;
		this.receiver = receiver;
		this.events = events;
		settings.seeds().forEach(this::addPeer);
	}

	void start() {
		this.loop.repeat(HELLO_INTERVAL_NANOS, this::maintainLinks);
		maintainLinks();
	}

	void addPeer(String name) {
		if (!name.equals(this.settings.name())) {
			this.peerNames.add(name);
		}
	}

	List<String> replicaNames() {
		Set<String> all = new TreeSet<>(this.peerNames);
		all.add(this.settings.name());
		return List.copyOf(all);
	}

	void send(String name, LinkMessage message) {
		Link link = this.links.get(name);
		if (link != null && this.established.contains(name)) {
			link.send(message);
		}
	}

	void close() {
		this.closed = true;
		List.copyOf(this.links.values()).forEach(Link::close);
	}

	private void maintainLinks() {
		long now = System.nanoTime();
		List.copyOf(this.peerNames).forEach((name) -> {
			Link link = this.links.get(name);
			if (link != null && now - link.lastReceivedNanos() > UNRESPONSIVE_NANOS) {
				link.close();
			}
			if (!this.links.containsKey(name)) {
				connect(name);
			}
			else {
				send(name, this.hello.get());
			}
		});
	}

	private void connect(String name) {
		if (this.closed || this.links.containsKey(name)) {
			return;
		}
		Link link = Link.open(this.loop, ReplicaHost.address(name, this.settings.peerPort()),
				(from, message) -> this.receiver.accept(message), (closedLink) -> linkClosed(name, closedLink));
		this.links.put(name, link);
		link.onConnected(() -> {
			this.established.add(name);
			link.send(this.hello.get());
			this.events.log(NodeEvent.LINK_CHANGED, "peer", name, "up", true);
		});
	}

	private void linkClosed(String name, Link link) {
		this.links.remove(name, link);
		if (this.established.remove(name)) {
			this.events.log(NodeEvent.LINK_CHANGED, "peer", name, "up", false);
		}
		if (this.reconnecting.add(name)) {
			this.loop.schedule(RECONNECT_DELAY_NANOS, () -> reconnect(name));
		}
	}

	private void reconnect(String name) {
		this.reconnecting.remove(name);
		connect(name);
	}

}
