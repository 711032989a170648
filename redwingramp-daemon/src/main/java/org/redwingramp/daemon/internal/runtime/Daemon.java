package org.redwingramp.daemon.internal.runtime;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.eclipse.jetty.server.Server;

import org.redwingramp.daemon.internal.control.ControlLoop;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.records.Settings;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.PeerServer;

/**
 * Starts and stops the roles, servers and links of a daemon. {@link #start} and
 * {@link #stop} are called once, in this order.
 *
 * <p>
 * Invariant: a graceful shutdown first hands over the gates, then waits until no request
 * is in flight, and only then closes connections. Both waits end after a timeout.
 */
final class Daemon {

	private static final long HANDOVER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);

	// Time without a new request after which the instance counts as idle.
	private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	// Minimum time between reporting not ready and closing the servers, so that a load
	// balancer notices that the instance isn't ready any more.
	private static final long MIN_UNREADY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long DRAIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long POLL_INTERVAL_MILLIS = 10;

	private final Settings settings;

	private final DaemonParts parts;

	private final LongSupplier clock;

	private final DaemonHealth health;

	private Optional<Thread> controlThread = Optional.empty();

	Daemon(Settings settings, DaemonParts parts, DaemonHealth health, LongSupplier clock) {
		this.settings = settings;
		this.parts = parts;
		this.health = health;
		this.clock = clock;
	}

	void start() throws Exception {
		this.controlThread = this.parts.control().map((loop) -> new Thread(loop, "control"));
		this.controlThread.ifPresent(Thread::start);
		if (this.parts.entry().isPresent()) {
			this.parts.entry().get().start();
		}
		for (Server server : this.parts.servers()) {
			server.start();
		}
		EventLog.log(Event.STARTED, this.settings.instance().name(), this.settings.instance().roles(),
				this.settings.listen().callers().map(Object::toString).orElse("-"), this.settings.listen().operators(),
				this.settings.listen().internal());
	}

	void stop() throws Exception {
		long stopStart = this.clock.getAsLong();
		this.health.markStopping();
		if (this.parts.entry().isPresent()) {
			handOverAndDrain(this.parts.entry().get());
		}
		for (Server server : this.parts.servers()) {
			server.stop();
		}
		int abandonedRequests = this.parts.entry().map((entry) -> entry.limiter().inFlight()).orElse(0);
		if (this.parts.entry().isPresent()) {
			this.parts.entry().get().stop();
		}
		stopControl();
		EventLog.log(Event.STOPPED, this.settings.instance().name(),
				TimeUnit.NANOSECONDS.toMillis(this.clock.getAsLong() - stopStart), abandonedRequests);
	}

	private void handOverAndDrain(EntryRole entry) throws InterruptedException {
		EventLog.log(Event.STOPPING, this.settings.instance().name(), entry.limiter().inFlight());
		entry.startHandover();
		long unreadyEnd = this.clock.getAsLong() + MIN_UNREADY_NANOS;
		long handoverEnd = this.clock.getAsLong() + HANDOVER_TIMEOUT_NANOS;
		while (!entry.handedOver() && this.clock.getAsLong() < handoverEnd) {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
		long drainEnd = this.clock.getAsLong() + DRAIN_TIMEOUT_NANOS;
		while ((this.clock.getAsLong() < unreadyEnd || !idle(entry)) && this.clock.getAsLong() < drainEnd) {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static boolean idle(EntryRole entry) {
		return entry.limiter().inFlight() == 0 && entry.limiter().idleNanos() > MIN_IDLE_NANOS;
	}

	private void stopControl() throws Exception {
		this.parts.control().ifPresent(ControlLoop::stop);
		if (this.controlThread.isPresent()) {
			this.controlThread.get().join(TimeUnit.SECONDS.toMillis(2));
		}
		this.parts.peerServer().close();
		this.parts.links().close();
		Optional<ReplicaStore> store = this.parts.store();
		if (store.isPresent()) {
			store.get().close();
		}
	}

	/**
	 * The components that a daemon starts and stops. Immutable.
	 *
	 * @param control the control role, if the instance has it
	 * @param store the durable storage of the control role
	 * @param entry the entry role, if the instance has it
	 * @param servers the HTTP servers
	 * @param peerServer the server of the internal port
	 * @param links the links to other daemons
	 */
	record DaemonParts(Optional<ControlLoop> control, Optional<ReplicaStore> store, Optional<EntryRole> entry,
			List<Server> servers, PeerServer peerServer, PeerLinks links) {
	}

}
