package org.redwingramp.daemon.internal.entry;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryAgent;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.GateReports;
import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.gate.DispatchPermission;
import org.redwingramp.daemon.internal.gate.GrantAuthority;

/**
 * The session of this entry instance with the control group. It guards the entry agent by
 * a lock and lets threads wait for a newer view. Thread safe.
 *
 * <p>
 * Invariant: once the agent has reported a violated invariant, no request may be routed
 * or dispatched.
 */
public final class EntrySession implements DispatchPermission, GrantAuthority {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition viewChanged = this.lock.newCondition();

	private final EntryAgent agent;

	private final LongSupplier clock;

	private volatile ControlView view;

	private volatile int viewWaiters;

	private boolean invariantViolated;

	private boolean controlUnresponsive = true;

	private boolean leased;

	/**
	 * Creates the session.
	 * @param agent the agent that tracks the view, the leases and the grants
	 * @param clock the monotonic clock in nanoseconds
	 */
	public EntrySession(EntryAgent agent, LongSupplier clock) {
		this.agent = agent;
		this.clock = clock;
		this.view = agent.view();
	}

	/**
	 * Returns the current view.
	 * @return the view
	 */
	public ControlView view() {
		return this.view;
	}

	/**
	 * Returns whether the view may be used for routing now.
	 * @return whether a reply of the control leader was received within the view lifetime
	 */
	public boolean mayRoute() {
		this.lock.lock();
		try {
			return !this.invariantViolated && this.agent.mayRoute(this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean mayDispatch(String target, String key, ShardId shard, long fence) {
		this.lock.lock();
		try {
			return !this.invariantViolated && isInShard(key, shard)
					&& this.agent.mayDispatch(target, shard, fence, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean isInShard(String key, ShardId shard) {
		if (shard.service().isEmpty()) {
			return true;
		}
		return this.view.service(shard.service())
			.flatMap((service) -> this.view.shard(service, key))
			.filter((current) -> current.id().equals(shard))
			.isPresent();
	}

	/**
	 * Waits until the view is newer than a version or the timeout has elapsed.
	 * @param version the version
	 * @param timeoutNanos the maximum time to wait
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitViewNewerThan(long version, long timeoutNanos) throws InterruptedException {
		this.lock.lock();
		this.viewWaiters++;
		try {
			long remainingNanos = timeoutNanos;
			while (this.view.version() <= version && remainingNanos > 0) {
				remainingNanos = this.viewChanged.awaitNanos(remainingNanos);
			}
		}
		finally {
			this.viewWaiters--;
			this.lock.unlock();
		}
	}

	// Returns whether any request is waiting for a newer view.
	boolean awaitsNewerView() {
		return this.viewWaiters > 0;
	}

	EntryHeartbeat heartbeat(GateReports reports) {
		this.lock.lock();
		try {
			return this.agent.nextHeartbeat(reports, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	// Handles the leader's reply to a heartbeat and returns whether the view changed.
	boolean handleReply(EntryHeartbeatReply reply) {
		this.lock.lock();
		try {
			long previousVersion = this.view.version();
			this.agent.handleHeartbeatReply(reply, this.clock.getAsLong());
			this.view = this.agent.view();
			if (this.view.version() != previousVersion) {
				EventLog.log(Event.VIEW_APPLIED, this.view.version());
				this.viewChanged.signalAll();
			}
			return this.view.version() != previousVersion;
		}
		catch (InvariantViolatedException ex) {
			this.invariantViolated = true;
			EventLog.log(Event.INVARIANT_VIOLATED, "entry", ex.getMessage());
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public Grant nextGrant(String target) {
		this.lock.lock();
		try {
			return this.agent.nextGrant(target, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void handleGrantReply(String target, long gateEpoch, GrantReply reply) {
		this.lock.lock();
		try {
			this.agent.handleGrantReply(target, gateEpoch, reply, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean handoverRequested(String target) {
		this.lock.lock();
		try {
			return this.agent.handoverRequested(target);
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean lost(String target) {
		this.lock.lock();
		try {
			return this.agent.lost(target, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	// Returns whether this instance holds the gate lease. Logs if the lease has expired
	// and if the control group has become unresponsive or responsive again.
	boolean refreshLeaseState() {
		this.lock.lock();
		try {
			long now = this.clock.getAsLong();
			boolean nowLeased = now < this.agent.gateLeaseEnd();
			if (this.leased && !nowLeased) {
				EventLog.log(Event.LEASE_LOST);
			}
			this.leased = nowLeased;
			boolean nowUnresponsive = !this.agent.mayRoute(now);
			if (nowUnresponsive && !this.controlUnresponsive) {
				EventLog.log(Event.CONTROL_SILENT);
			}
			else if (this.controlUnresponsive && !nowUnresponsive) {
				EventLog.log(Event.CONTROL_HEARD, this.view.version());
			}
			this.controlUnresponsive = nowUnresponsive;
			return nowLeased;
		}
		finally {
			this.lock.unlock();
		}
	}

}
