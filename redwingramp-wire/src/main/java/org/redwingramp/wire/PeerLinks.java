package org.redwingramp.wire;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.redwingramp.wire.internal.ConnectionWatch;
import org.redwingramp.wire.internal.PeerLink;

/**
 * Sends messages to other daemons. A link to a peer is created on first use;
 * {@link #retain} closes the links to peers that no longer exist. Invariants: only
 * {@link #call} waits for the network; a slow peer does not delay messages to other
 * peers; threads, connections and queued messages per peer are bounded. Thread safe.
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
	 * Creates an instance without any links.
	 * @param self the identity of this daemon
	 * @param settings the limits and timeouts
	 * @param listener receives events of the connections
	 * @return the new instance
	 */
	public static PeerLinks open(LocalPeer self, LinkSettings settings, WireListener listener) {
		return new PeerLinks(self, settings, listener);
	}

	/**
	 * Queues a one-way message. Delivery is not guaranteed: the oldest messages are
	 * dropped if the peer receives them too slowly, and all queued messages if the
	 * connection fails.
	 * @param address the peer's address as {@code ip:port}
	 * @param kind the type of the payload
	 * @param payload the payload, which must not be changed afterwards
	 */
	public void send(String address, Kind kind, byte[] payload) {
		link(address).send(kind, payload);
	}

	/**
	 * Calls a peer and waits for its reply.
	 * @param address the peer's address as {@code ip:port}
	 * @param kind the type of the payload
	 * @param payload the payload
	 * @param timeout the time limit, which includes waiting for a connection
	 * @return the reply
	 * @throws CallNotExecutedException if the call certainly had no effect: it was not
	 * sent completely, or the peer refused it
	 * @throws OutcomeUnknownException if the call was sent and may have had an effect
	 */
	public Answer call(String address, Kind kind, byte[] payload, Duration timeout)
			throws CallNotExecutedException, OutcomeUnknownException {
		return link(address).call(kind, payload, timeout.toNanos());
	}

	/**
	 * Closes all links except those to the given peers.
	 * @param addresses the addresses of the peers whose links are kept
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
