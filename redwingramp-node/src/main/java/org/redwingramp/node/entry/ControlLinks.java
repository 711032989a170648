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
 * The links from an entry instance to the control replicas. One link is kept open to each
 * replica, so that messages of a newly elected leader arrive without a connection having
 * to be opened first. Not thread safe; confined to the event loop thread.
 */
final class ControlLinks {

	private static final long MILLISECOND = 1_000_000L;

	/** The interval between two reports to the leader. */
	private static final long REPORT_NANOS = 250 * MILLISECOND;

	/** The number of report intervals between two heartbeats to the other replicas. */
	private static final int REPORTS_PER_HELLO = 4;

	/**
	 * A link to the leader, or one that isn't established yet, is replaced if no message
	 * has been received on it for longer than this.
	 */
	private static final long LEADER_TIMEOUT_NANOS = 900 * MILLISECOND;

	/** The same limit for established links to the other replicas. */
	private static final long OTHER_REPLICA_TIMEOUT_NANOS = 2500 * MILLISECOND;

	/**
	 * The delay before a closed or refused link is opened again. It is short because
	 * after a restart of the whole fleet no instance can serve requests before it has
	 * reached a leader.
	 */
	private static final long RECONNECT_DELAY_NANOS = 100 * MILLISECOND;

	private final EventLoop loop;

	private final EntrySettings settings;

	private final Listener listener;

	private final EventWriter events;

	private final Set<String> replicaAddresses = new TreeSet<>();

	private final Map<String, Link> links = new HashMap<>();

	private final Set<Link> established = new java.util.HashSet<>();

	private final Set<String> awaitingReconnect = new TreeSet<>();

	private Link leader;

	private long lastLeaderContactNanos = System.nanoTime();

	private int rounds;

	ControlLinks(EventLoop loop, EntrySettings settings, Listener listener, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.listener = listener;
		this.events = events;
		this.replicaAddresses.addAll(settings.seeds());
	}

	void start() {
		this.loop.repeat(REPORT_NANOS, this::maintainLinks);
		maintainLinks();
	}

	void addReplicas(Collection<String> replicas) {
		this.replicaAddresses.addAll(replicas);
	}

	// Returns the time since the last message from a leader.
	long leaderContactAgeNanos(long now) {
		return now - this.lastLeaderContactNanos;
	}

	void reportNow() {
		if (this.leader != null) {
			this.leader.send(this.listener.report());
		}
	}

	// Returns false if no leader is known.
	boolean sendToLeader(LinkMessage message) {
		if (this.leader != null) {
			this.leader.send(message);
		}
		return this.leader != null;
	}

	private void maintainLinks() {
		long now = System.nanoTime();
		this.rounds++;
		List.copyOf(this.replicaAddresses).forEach((address) -> {
			Link link = this.links.get(address);
			long timeout = (link == this.leader || !this.established.contains(link)) ? LEADER_TIMEOUT_NANOS
					: OTHER_REPLICA_TIMEOUT_NANOS;
			if (link != null && now - link.lastReceivedNanos() > timeout) {
				link.close();
				link = null;
			}
			connect(address);
			if (link != null && link != this.leader && this.rounds % REPORTS_PER_HELLO == 0) {
				link.send(this.listener.hello());
			}
		});
		reportNow();
	}

	private void connect(String address) {
		if (this.links.containsKey(address)) {
			return;
		}
		Link link = Link.open(this.loop, new InetSocketAddress(address, this.settings.peerPort()), this::received,
				(closed) -> linkClosed(address, closed));
		this.links.put(address, link);
		link.onConnected(() -> {
			this.established.add(link);
			link.send(this.listener.hello());
		});
	}

	private void linkClosed(String address, Link link) {
		this.links.remove(address, link);
		this.established.remove(link);
		if (this.leader == link) {
			this.leader = null;
			this.events.log(NodeEvent.CONTROL_SILENT, "leader", address);
		}
		if (this.awaitingReconnect.add(address)) {
			this.loop.schedule(RECONNECT_DELAY_NANOS, () -> reconnect(address));
		}
	}

	private void reconnect(String address) {
		this.awaitingReconnect.remove(address);
		connect(address);
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.LeaderInfo info) {
			addReplicas(info.replicas());
			if (info.leading() && this.leader != link) {
				this.leader = link;
				this.listener.leaderHeard(link);
				link.send(this.listener.hello());
				link.send(this.listener.report());
				this.events.log(NodeEvent.CONTROL_HEARD, "leader", info.leader());
			}
			else if (!info.leading() && this.leader == link) {
				this.leader = null;
				this.events.log(NodeEvent.CONTROL_SILENT, "leader", info.leader());
			}
		}
		if (link == this.leader) {
			this.lastLeaderContactNanos = System.nanoTime();
			if (message instanceof LinkMessage.LeaderInfo info) {
				info.followed().ifPresent(this.listener::followedByAny);
			}
		}
		this.listener.received(link, message);
	}

	/**
	 * Supplies the messages to send and handles those received.
	 */
	interface Listener {

		// Returns the message that introduces this instance and serves as heartbeat.
		LinkMessage.EntryHello hello();

		// Called when a leader is heard on another link than before, or again.
		void leaderHeard(Link link);

		// Called when the leader states whether any entry instance follows it.
		void followedByAny(boolean any);

		// Returns the usage since the previous report, and acknowledges the current
		// view.
		LinkMessage.Report report();

		void received(Link link, LinkMessage message);

	}

}
