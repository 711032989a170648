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
 * A running daemon. {@link #start} and {@link #stop} are called once, in this order.
 *
 * <p>
 * Invariant: a graceful shutdown stops sending new work first, then waits until no
 * request is under way, and only then closes connections.
 */
final class Daemon {

	private static final long HAND_OVER_NANOS = TimeUnit.SECONDS.toNanos(8);

	private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	// The balancer needs time to see that the instance isn't ready any more.
	private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(20);

	private static final long STEP_MILLIS = 10;

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
		long began = this.clock.getAsLong();
		this.health.stopping();
		if (this.parts.entry().isPresent()) {
			leave(this.parts.entry().get());
		}
		for (Server server : this.parts.servers()) {
			server.stop();
		}
		int cut = this.parts.entry().map((entry) -> entry.limiter().inFlight()).orElse(0);
		if (this.parts.entry().isPresent()) {
			this.parts.entry().get().stop();
		}
		stopControl();
		EventLog.log(Event.STOPPED, this.settings.instance().name(),
				TimeUnit.NANOSECONDS.toMillis(this.clock.getAsLong() - began), cut);
	}

	private void leave(EntryRole entry) throws InterruptedException {
		EventLog.log(Event.STOPPING, this.settings.instance().name(), entry.limiter().inFlight());
		entry.leave();
		long noticeEnd = this.clock.getAsLong() + NOTICE_NANOS;
		long handOverEnd = this.clock.getAsLong() + HAND_OVER_NANOS;
		while (!entry.handedOver() && this.clock.getAsLong() < handOverEnd) {
			TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
		}
		long drainEnd = this.clock.getAsLong() + DRAIN_NANOS;
		while ((this.clock.getAsLong() < noticeEnd || !idle(entry)) && this.clock.getAsLong() < drainEnd) {
			TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
		}
	}

	private static boolean idle(EntryRole entry) {
		return entry.limiter().inFlight() == 0 && entry.limiter().idleNanos() > IDLE_NANOS;
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
	 * The parts of a daemon. Immutable.
	 *
	 * @param control the control role
	 * @param store the control role's store
	 * @param entry the entry role
	 * @param servers the HTTP servers
	 * @param peerServer the internal port
	 * @param links the links to other daemons
	 */
	record DaemonParts(Optional<ControlLoop> control, Optional<ReplicaStore> store, Optional<EntryRole> entry,
			List<Server> servers, PeerServer peerServer, PeerLinks links) {
	}

}
