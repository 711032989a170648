package org.redwingramp.daemon.internal.runtime;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.wire.WireEvent;
import org.redwingramp.wire.WireListener;

/**
 * Logs the events of connections between daemons. Thread safe.
 *
 * <p>
 * Invariant: events other than a reached peer log at most one line a second for each
 * type, since unauthenticated clients can cause such events at any rate.
 */
final class WireEventLog implements WireListener {

	private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Map<WireEvent.Type, Long> lastLogged = new ConcurrentHashMap<>();

	private final LongSupplier clock;

	WireEventLog(LongSupplier clock) {
		this.clock = clock;
	}

	@Override
	public void onEvent(WireEvent event) {
		switch (event.type()) {
			case PEER_REACHED -> EventLog.log(Event.PEER_REACHED, event.address());
			case PEER_UNREACHABLE, SILENT_CONNECTION, MESSAGES_DROPPED -> logRateLimited(Event.PEER_UNREACHABLE, event);
			default -> logRateLimited(Event.PEER_REFUSED, event);
		}
	}

	private void logRateLimited(Event kind, WireEvent event) {
		long now = this.clock.getAsLong();
		Long last = this.lastLogged.get(event.type());
		if (last == null || now - last >= MIN_INTERVAL_NANOS) {
			this.lastLogged.put(event.type(), now);
			EventLog.log(kind, event.address(), event.type() + " " + event.detail());
		}
	}

}
