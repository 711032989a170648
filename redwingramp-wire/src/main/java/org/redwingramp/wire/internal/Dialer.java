package org.redwingramp.wire.internal;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.redwingramp.wire.LinkSettings;
import org.redwingramp.wire.LocalPeer;
import org.redwingramp.wire.NotSentException;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireListener;

/**
 * Opens connections to one peer and reports whether it can be reached. Thread safe.
 */
final class Dialer {

	private final LocalPeer self;

	private final String address;

	private final LinkSettings settings;

	private final ConnectionWatch watch;

	private final WireListener listener;

	private final Backoff backoff;

	private final AtomicReference<WireEvent.Type> reported = new AtomicReference<>();

	Dialer(LocalPeer self, String address, LinkSettings settings, ConnectionWatch watch, WireListener listener) {
		this.self = self;
		this.address = address;
		this.settings = settings;
		this.watch = watch;
		this.listener = listener;
		this.backoff = new Backoff(settings);
	}

	/**
	 * Opens a connection, unless the last attempt failed a short while ago.
	 * @param timeoutNanos the caller's remaining time
	 * @return the connection
	 * @throws NotSentException if the peer can't be reached
	 */
	PeerConnection dial(long timeoutNanos) throws NotSentException {
		if (this.backoff.remainingNanos() > 0) {
			throw new NotSentException(this.address + " could not be reached a short while ago");
		}
		try {
			long limit = Math.min(timeoutNanos, TimeUnit.MILLISECONDS.toNanos(this.settings.connectMillis()));
			PeerConnection connection = PeerConnection.open(this.self, this.address, this.settings, this.watch, limit);
			this.backoff.worked();
			report(WireEvent.Type.PEER_REACHED, "connected");
			return connection;
		}
		catch (NotSentException ex) {
			this.backoff.failed();
			report(WireEvent.Type.PEER_UNREACHABLE, ex.getMessage());
			throw ex;
		}
	}

	long pauseNanos() {
		return this.backoff.remainingNanos();
	}

	void silent(String detail) {
		this.listener.happened(new WireEvent(WireEvent.Type.SILENT_CONNECTION, this.address, detail));
	}

	void dropped(long count) {
		this.listener
			.happened(new WireEvent(WireEvent.Type.MESSAGES_DROPPED, this.address, count + " messages dropped"));
	}

	void failed(RuntimeException failure) {
		this.listener.happened(new WireEvent(WireEvent.Type.HANDLER_FAILED, this.address, failure.toString()));
	}

	private void report(WireEvent.Type type, String detail) {
		if (this.reported.getAndSet(type) != type) {
			this.listener.happened(new WireEvent(type, this.address, detail));
		}
	}

}
