package org.redwingramp.wire;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.redwingramp.wire.internal.ConnectionWatch;
import org.redwingramp.wire.internal.PeerLink;

/**
 * Sends messages to other daemons. Links are made when they are first used; the user
 * removes those of peers that are gone with {@link #retain}. Invariants: no method but
 * {@link #call} waits for the network; a slow peer delays no message to another one;
 * threads, connections and queued messages for each peer are bounded. Thread safe.
 */
public final class PeerLinks implements AutoCloseable {

	private final Map<String, PeerLink> links = new ConcurrentHashMap<>();

	private final LocalPeer self;

	private final LinkSettings settings;

	private final WireListener listener;

	private final ConnectionWatch watch = new ConnectionWatch("links");

	private PeerLinks(LocalPeer self, LinkSettings settings, WireListener listener) {
		this.self = self;
		this.settings = settings;
		this.listener = listener;
	}

	/**
	 * Creates an empty set of links.
	 * @param self how this daemon presents itself
	 * @param settings the limits
	 * @param listener is told of events
	 * @return the links
	 */
	public static PeerLinks open(LocalPeer self, LinkSettings settings, WireListener listener) {
		return new PeerLinks(self, settings, listener);
	}

	/**
	 * Queues a one-way message, which may be lost: the oldest ones are dropped if the
	 * peer takes them too slowly, and all queued ones if the connection fails.
	 * @param address the peer's address as {@code ip:port}
	 * @param kind what the payload is
	 * @param payload the payload, not changed afterwards
	 */
	public void send(String address, Kind kind, byte[] payload) {
		link(address).send(kind, payload);
	}

	/**
	 * Calls a peer and waits for its answer.
	 * @param address the peer's address as {@code ip:port}
	 * @param kind what the payload is
	 * @param payload the payload
	 * @param timeout how long to wait, including for a connection
	 * @return the answer
	 * @throws NotSentException if the call can't have had an effect: it was not sent as a
	 * whole, or the peer refused it
	 * @throws OutcomeUnknownException if the call was sent and may have had an effect
	 */
	public Answer call(String address, Kind kind, byte[] payload, Duration timeout)
			throws NotSentException, OutcomeUnknownException {
		return link(address).call(kind, payload, timeout.toNanos());
	}

	/**
	 * Closes the links to all other peers.
	 * @param addresses the peers that stay
	 */
	public void retain(Collection<String> addresses) {
		Set<String> kept = Set.copyOf(addresses);
		this.links.keySet().stream().filter((address) -> !kept.contains(address)).toList().forEach((address) -> {
			PeerLink removed = this.links.remove(address);
			if (removed != null) {
				removed.close();
			}
		});
	}

	private PeerLink link(String address) {
		PeerLink existing = this.links.get(address);
		return (existing != null) ? existing : this.links.computeIfAbsent(address,
				(key) -> new PeerLink(this.self, key, this.settings, this.watch, this.listener));
	}

	/** Closes all links. Calls in progress fail. */
	@Override
	public void close() {
		this.links.values().forEach(PeerLink::close);
		this.watch.close();
	}

}
