package org.redwingramp.node.entry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;

/**
 * The links from an entry instance to the control replicas. It keeps one to each, so that
 * a new leader is heard at once. Not thread safe; it belongs to the loop's thread.
 */
final class ControlLinks {

	private static final long MILLISECOND = 1_000_000L;

	/** The time between two reports to the leader. */
	private static final long REPORT_NANOS = 250 * MILLISECOND;

	/** The reports between two signs of life to the other replicas. */
	private static final int HELLO_EVERY = 4;

	/** A link to the leader that is silent for longer is replaced. */
	private static final long LEADER_SILENT_NANOS = 900 * MILLISECOND;

	private static final long OTHER_SILENT_NANOS = 2500 * MILLISECOND;

	/**
	 * The delay before a replica that refused a link is called again. After a loss of all
	 * processes each instance waits for its first leader.
	 */
	private static final long REDIAL_NANOS = 100 * MILLISECOND;

	private final EventLoop loop;

	private final EntrySettings settings;

	private final Listener listener;

	private final EventWriter events;

	private final Set<String> names = new TreeSet<>();

	private final Map<String, Link> links = new HashMap<>();

	private final Set<Link> established = new java.util.HashSet<>();

	private final Set<String> redialing = new TreeSet<>();

	private Link leader;

	private long leaderHeardNanos = System.nanoTime();

	private int rounds;

	ControlLinks(EventLoop loop, EntrySettings settings, Listener listener, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.listener = listener;
		this.events = events;
		this.names.addAll(settings.seeds());
	}

	void start() {
		this.loop.repeat(REPORT_NANOS, this::tend);
		tend();
	}

	void learn(Collection<String> replicas) {
		this.names.addAll(replicas);
	}

	// Returns how long no leader has been heard.
	long silentNanos(long now) {
		return now - this.leaderHeardNanos;
	}

	void reportNow() {
		if (this.leader != null) {
			this.leader.send(this.listener.report());
		}
	}

	private void tend() {
		long now = System.nanoTime();
		this.rounds++;
		List.copyOf(this.names).forEach((name) -> {
			Link link = this.links.get(name);
			long limit = (link == this.leader || !this.established.contains(link)) ? LEADER_SILENT_NANOS
					: OTHER_SILENT_NANOS;
			if (link != null && now - link.heardNanos() > limit) {
				link.close();
				link = null;
			}
			dial(name);
			if (link != null && link != this.leader && this.rounds % HELLO_EVERY == 0) {
				link.send(this.listener.hello());
			}
		});
		reportNow();
	}

	private void dial(String name) {
		if (this.links.containsKey(name)) {
			return;
		}
		Link link = Link.open(this.loop, new InetSocketAddress(name, this.settings.peerPort()), this::received,
				(ended) -> ended(name, ended));
		this.links.put(name, link);
		link.onConnected(() -> {
			this.established.add(link);
			link.send(this.listener.hello());
		});
	}

	private void ended(String name, Link link) {
		this.links.remove(name, link);
		this.established.remove(link);
		if (this.leader == link) {
			this.leader = null;
			this.events.log(NodeEvent.CONTROL_SILENT, "leader", name);
		}
		if (this.redialing.add(name)) {
			this.loop.schedule(REDIAL_NANOS, () -> redial(name));
		}
	}

	private void redial(String name) {
		this.redialing.remove(name);
		dial(name);
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.LeaderInfo info) {
			learn(info.replicas());
			if (info.leading() && this.leader != link) {
				this.leader = link;
				link.send(this.listener.hello());
				this.events.log(NodeEvent.CONTROL_HEARD, "leader", info.leader());
			}
			else if (!info.leading() && this.leader == link) {
				this.leader = null;
				this.events.log(NodeEvent.CONTROL_SILENT, "leader", info.leader());
			}
		}
		if (link == this.leader) {
			this.leaderHeardNanos = System.nanoTime();
		}
		this.listener.received(link, message);
	}

	/**
	 * What the links ask of the entry instance.
	 */
	interface Listener {

		LinkMessage.EntryHello hello();

		LinkMessage.Report report();

		void received(Link link, LinkMessage message);

	}

}
