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
 * The thread of an entry instance's session: heartbeats, gates that follow the view,
 * grants. {@link #leave} and {@link #stop} are thread safe.
 */
public final class EntryLoop implements Runnable {

	private static final long STEP_MILLIS = 5;

	private static final int HEARTBEATS_UNDER_WAY = 4;

	// While something is to be reported or a request waits for a newer view, the steps
	// of a recovery follow each other at this pace instead of the regular one.
	private static final long URGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final EntrySession session;

	private final GrantManager grantManager;

	private final ControlClient control;

	private final ExecutorService calls;

	private final ControlTiming timing;

	private final LongSupplier clock;

	private final Semaphore underWay = new Semaphore(HEARTBEATS_UNDER_WAY);

	private long lastHeartbeat = Long.MIN_VALUE / 2;

	private volatile boolean controlAnswers;

	private volatile boolean leaving;

	private volatile boolean running = true;

	public EntryLoop(EntrySession session, GrantManager grantManager, ControlClient control, ExecutorService calls,
			ControlTiming timing, LongSupplier clock) {
		this.session = session;
		this.grantManager = grantManager;
		this.control = control;
		this.calls = calls;
		this.timing = timing;
		this.clock = clock;
	}

	/** Hands the gates over from now on. */
	public void leave() {
		this.leaving = true;
	}

	/** Ends the loop. */
	public void stop() {
		this.running = false;
	}

	@Override
	public void run() {
		while (this.running) {
			try {
				step();
				TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
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
		boolean leased = this.session.observe();
		this.grantManager.step(this.session.view(), leased);
		long now = this.clock.getAsLong();
		if (now - this.lastHeartbeat >= pace() && this.underWay.tryAcquire()) {
			this.lastHeartbeat = now;
			submit(this.session.heartbeat(this.grantManager.reports(this.session.view(), this.leaving)));
		}
	}

	private long pace() {
		boolean urgent = this.controlAnswers
				&& (this.leaving || this.grantManager.transitionPending() || this.session.newerViewWanted());
		return urgent ? Math.min(URGENT_NANOS, this.timing.entryHeartbeatNanos()) : this.timing.entryHeartbeatNanos();
	}

	private void submit(EntryHeartbeat heartbeat) {
		try {
			this.calls.execute(() -> exchange(heartbeat));
		}
		catch (RejectedExecutionException ex) {
			this.underWay.release();
		}
	}

	private void exchange(EntryHeartbeat heartbeat) {
		try {
			ControlReply reply = this.control.call(new ControlCall.Heartbeat(heartbeat),
					this.timing.entryHeartbeatNanos() * 2);
			this.controlAnswers = reply instanceof ControlReply.Renewed;
			if (reply instanceof ControlReply.Renewed renewed && this.session.reply(renewed.reply())) {
				this.grantManager.viewChanged();
			}
		}
		catch (ControlUnavailableException | ControlUndecidedException ex) {
			// The next heartbeat tries again at the regular pace, so that a control
			// group in trouble isn't flooded; the leases run out by themselves.
			this.controlAnswers = false;
		}
		finally {
			this.underWay.release();
		}
	}

}
