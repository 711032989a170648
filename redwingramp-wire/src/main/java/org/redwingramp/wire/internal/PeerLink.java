package org.redwingramp.wire.internal;

import java.util.EnumMap;
import java.util.Map;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.WireListener;

/**
 * All outgoing connections to one peer. Thread safe.
 */
public final class PeerLink implements AutoCloseable {

	private final String address;

	private final LinkSettings settings;

	private final Dialer dialer;

	private final Map<Kind.ConnectionGroup, CallPool> pools = new EnumMap<>(Kind.ConnectionGroup.class);

	private OneWaySender sender;

	private boolean closed;

	/**
	 * Creates a link. Connections are opened on demand.
	 * @param self the identity of this daemon
	 * @param address the peer's address as {@code ip:port}
	 * @param settings the limits and timeouts
	 * @param watch closes connections whose deadline has passed
	 * @param listener receives events of the connections
	 */
	public PeerLink(LocalPeer self, String address, LinkSettings settings, ConnectionWatch watch,
			WireListener listener) {
		this.address = address;
		this.settings = settings;
		this.dialer = new Dialer(self, address, settings, watch, listener);
		this.pools.put(Kind.ConnectionGroup.CONTROL,
				new CallPool(this.dialer, address, settings, settings.controlConnections()));
		this.pools.put(Kind.ConnectionGroup.FORWARD,
				new CallPool(this.dialer, address, settings, settings.forwardConnections()));
	}

	/**
	 * Queues a one-way message. Has no effect after {@link #close}.
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 */
	public void send(Kind kind, byte[] payload) {
		OneWaySender current = sender();
		if (current != null) {
			current.send(kind, payload);
		}
	}

	/**
	 * Calls the peer and waits for its reply.
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 * @param timeoutNanos the time limit in nanoseconds
	 * @return the reply
	 * @throws CallNotExecutedException if the call certainly had no effect
	 * @throws OutcomeUnknownException if the call may have had an effect
	 */
	public Answer call(Kind kind, byte[] payload, long timeoutNanos)
			throws CallNotExecutedException, OutcomeUnknownException {
		return this.pools.get(kind.connectionGroup()).call(kind, payload, timeoutNanos);
	}

	private synchronized OneWaySender sender() {
		if (this.sender == null && !this.closed) {
			this.sender = new OneWaySender(this.dialer, this.address, this.settings);
		}
		return this.closed ? null : this.sender;
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			if (this.sender != null) {
				this.sender.close();
			}
		}
		this.pools.values().forEach(CallPool::close);
	}

}
