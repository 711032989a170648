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
 * The links from this control replica to the others. Each side opens its own, and
 * messages to a replica go over the link opened to it. Invariant: a link without a sign
 * of life is replaced. Not thread safe; it belongs to the loop's thread.
 */
final class PeerLinks {

	private static final long MILLISECOND = 1_000_000L;

	/** The time between two signs of life. */
	private static final long HELLO_NANOS = 400 * MILLISECOND;

	/** A link that is silent for longer is taken as dead. */
	private static final long SILENT_NANOS = 1200 * MILLISECOND;

	/**
	 * The delay before a replica that refused a link is called again. Replicas that start
	 * together listen within a few tenths of a second of each other.
	 */
	private static final long REDIAL_NANOS = 100 * MILLISECOND;

	private final EventLoop loop;

	private final ControlSettings settings;

	private final Supplier<LinkMessage.ReplicaHello> hello;

	private final Consumer<LinkMessage> receiver;

	private final EventWriter events;

	private final Set<String> names = new TreeSet<>();

	private final Map<String, Link> links = new HashMap<>();

	private final Set<String> established = new TreeSet<>();

	private final Set<String> redialing = new TreeSet<>();

	private boolean closed;

	PeerLinks(EventLoop loop, ControlSettings settings, Supplier<LinkMessage.ReplicaHello> hello,
			Consumer<LinkMessage> receiver, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.hello = hello;
		this.receiver = receiver;
		this.events = events;
		settings.seeds().forEach(this::learn);
	}

	void start() {
		this.loop.repeat(HELLO_NANOS, this::tend);
		tend();
	}

	void learn(String name) {
		if (!name.equals(this.settings.name())) {
			this.names.add(name);
		}
	}

	List<String> known() {
		Set<String> all = new TreeSet<>(this.names);
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

	private void tend() {
		long now = System.nanoTime();
		List.copyOf(this.names).forEach((name) -> {
			Link link = this.links.get(name);
			if (link != null && now - link.heardNanos() > SILENT_NANOS) {
				link.close();
			}
			if (!this.links.containsKey(name)) {
				dial(name);
			}
			else {
				send(name, this.hello.get());
			}
		});
	}

	private void dial(String name) {
		if (this.closed || this.links.containsKey(name)) {
			return;
		}
		Link link = Link.open(this.loop, ReplicaHost.address(name, this.settings.peerPort()),
				(from, message) -> this.receiver.accept(message), (ended) -> ended(name, ended));
		this.links.put(name, link);
		link.onConnected(() -> {
			this.established.add(name);
			link.send(this.hello.get());
			this.events.log(NodeEvent.LINK_CHANGED, "peer", name, "up", true);
		});
	}

	private void ended(String name, Link link) {
		this.links.remove(name, link);
		if (this.established.remove(name)) {
			this.events.log(NodeEvent.LINK_CHANGED, "peer", name, "up", false);
		}
		if (this.redialing.add(name)) {
			this.loop.schedule(REDIAL_NANOS, () -> redial(name));
		}
	}

	private void redial(String name) {
		this.redialing.remove(name);
		dial(name);
	}

}
