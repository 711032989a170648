package org.redwingramp.wire.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireListener;

/**
 * Opens connections to one peer and reports events of these connections, including
 * changes of whether the peer can be reached. Thread safe.
 */
final class Dialer {

	private final LocalPeer self;

	private final String address;

	private final LinkSettings settings;

	private final ConnectionWatch watch;

	private final WireListener listener;

	private final Backoff backoff;

	private final AtomicReference<WireEvent.Type> lastReported = new AtomicReference<>();

	Dialer(LocalPeer self, String address, LinkSettings settings, ConnectionWatch watch, WireListener listener) {
		this.self = self;
		this.address = address;
		this.settings = settings;
		this.watch = watch;
		this.listener = listener;
		this.backoff = new Backoff(settings);
	}

	/**
	 * Opens a connection, unless repeated failures require a delay before the next
	 * attempt.
	 * @param timeoutNanos the caller's remaining time in nanoseconds
	 * @return the connection
	 * @throws CallNotExecutedException if the peer can't be reached or a delay applies
	 */
	PeerConnection dial(long timeoutNanos) throws CallNotExecutedException {
		if (this.backoff.remainingNanos() > 0) {
			throw new CallNotExecutedException("Can't reach " + this.address
					+ ": the last connection attempts failed and the delay before the next one has not passed");
		}
		try {
			long connectTimeout = Math.min(timeoutNanos, TimeUnit.MILLISECONDS.toNanos(this.settings.connectMillis()));
			PeerConnection connection = PeerConnection.open(this.self, this.address, this.settings, this.watch,
					connectTimeout);
			this.backoff.succeeded();
			reportChange(WireEvent.Type.PEER_REACHED, "connected");
			return connection;
		}
		catch (CallNotExecutedException ex) {
			this.backoff.failed();
			reportChange(WireEvent.Type.PEER_UNREACHABLE, ex.getMessage());
			throw ex;
		}
	}

	long backoffNanos() {
		return this.backoff.remainingNanos();
	}

	void reportUnresponsive(String detail) {
		this.listener.onEvent(new WireEvent(WireEvent.Type.SILENT_CONNECTION, this.address, detail));
	}

	void reportDropped(long count) {
		this.listener
			.onEvent(new WireEvent(WireEvent.Type.MESSAGES_DROPPED, this.address, count + " one-way messages dropped"));
	}

	void reportFailure(RuntimeException failure) {
		this.listener.onEvent(new WireEvent(WireEvent.Type.HANDLER_FAILED, this.address, failure.toString()));
	}

	private void reportChange(WireEvent.Type type, String detail) {
		if (this.lastReported.getAndSet(type) != type) {
			this.listener.onEvent(new WireEvent(type, this.address, detail));
		}
	}

}
