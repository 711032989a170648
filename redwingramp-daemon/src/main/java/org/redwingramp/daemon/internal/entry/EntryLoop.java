package org.redwingramp.daemon.internal.entry;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.daemon.internal.control.ControlCall;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.gate.GrantManager;

/**
 * The loop of an entry instance, run by a single thread. It sends heartbeats to the
 * control leader, opens and closes gates as the view assigns them, and renews grants.
 * {@link #startHandover} and {@link #stop} are thread safe.
 */
public final class EntryLoop implements Runnable {

	private static final long STEP_INTERVAL_MILLIS = 5;

	private static final int MAX_HEARTBEATS_IN_FLIGHT = 4;

	// Heartbeat interval while a gate transition is pending, this instance hands over its
	// gates or a request waits for a newer view. The steps of a recovery then follow each
	// other faster than at the regular interval.
	private static final long EXPEDITED_HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final EntrySession session;

	private final GrantManager grantManager;

	private final ControlClient control;

	private final ExecutorService heartbeatExecutor;

	private final ControlTiming timing;

	private final LongSupplier clock;

	private final Semaphore heartbeatPermits = new Semaphore(MAX_HEARTBEATS_IN_FLIGHT);

	private long lastHeartbeatNanos = Long.MIN_VALUE / 2;

	private volatile boolean controlResponsive;

	private volatile boolean handoverStarted;

	private volatile boolean running = true;

	public EntryLoop(EntrySession session, GrantManager grantManager, ControlClient control,
			ExecutorService heartbeatExecutor, ControlTiming timing, LongSupplier clock) {
		this.session = session;
		this.grantManager = grantManager;
		this.control = control;
		this.heartbeatExecutor = heartbeatExecutor;
		this.timing = timing;
		this.clock = clock;
	}

	/** Starts to hand over all gates of this instance. */
	public void startHandover() {
		this.handoverStarted = true;
	}

	/** Stops the loop after the current step. */
	public void stop() {
		this.running = false;
	}

	@Override
	public void run() {
		while (this.running) {
			try {
				step();
				TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				EventLog.log(Event.DUTY_FAILED, "entry session", ex);
			}
		}
	}

	private void step() {
		boolean leased = this.session.refreshLeaseState();
		this.grantManager.step(this.session.view(), leased);
		long now = this.clock.getAsLong();
		if (now - this.lastHeartbeatNanos >= heartbeatIntervalNanos() && this.heartbeatPermits.tryAcquire()) {
			this.lastHeartbeatNanos = now;
			submitHeartbeat(
					this.session.heartbeat(this.grantManager.reports(this.session.view(), this.handoverStarted)));
		}
	}

	private long heartbeatIntervalNanos() {
		boolean expedited = this.controlResponsive
				&& (this.handoverStarted || this.grantManager.transitionPending() || this.session.awaitsNewerView());
		return expedited ? Math.min(EXPEDITED_HEARTBEAT_NANOS, this.timing.entryHeartbeatNanos())
				: this.timing.entryHeartbeatNanos();
	}

	private void submitHeartbeat(EntryHeartbeat heartbeat) {
		try {
			this.heartbeatExecutor.execute(() -> sendHeartbeat(heartbeat));
		}
		catch (RejectedExecutionException ex) {
			this.heartbeatPermits.release();
		}
	}

	private void sendHeartbeat(EntryHeartbeat heartbeat) {
		try {
			ControlReply reply = this.control.call(new ControlCall.Heartbeat(heartbeat),
					this.timing.entryHeartbeatNanos() * 2);
			this.controlResponsive = reply instanceof ControlReply.Renewed;
			if (reply instanceof ControlReply.Renewed renewed && this.session.handleReply(renewed.reply())) {
				this.grantManager.viewChanged();
			}
		}
		catch (ControlUnavailableException | ControlUndecidedException ex) {
			// The next heartbeat is sent at the regular interval, so that a failing
			// control group isn't overloaded. Without renewal the leases expire.
			this.controlResponsive = false;
		}
		finally {
			this.heartbeatPermits.release();
		}
	}

}
