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
 * Guards the entry agent by a lock and lets threads wait for a newer view. Thread safe.
 *
 * <p>
 * Invariant: after an invariant was violated, nothing may be routed or sent.
 */
public final class EntrySession implements DispatchPermission, GrantAuthority {

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition viewChanged = this.lock.newCondition();

	private final EntryAgent agent;

	private final LongSupplier clock;

	private volatile ControlView view;

	private volatile int waiting;

	private boolean broken;

	private boolean silent = true;

	private boolean leased;

	/**
	 * Creates the session.
	 * @param agent the agent
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
	 * @return whether control was heard recently
	 */
	public boolean mayRoute() {
		this.lock.lock();
		try {
			return !this.broken && this.agent.mayRoute(this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public boolean mayDispatch(String target, String key, ShardId shard, long fence) {
		this.lock.lock();
		try {
			return !this.broken && belongs(key, shard)
					&& this.agent.mayDispatch(target, shard, fence, this.clock.getAsLong());
		}
		finally {
			this.lock.unlock();
		}
	}

	private boolean belongs(String key, ShardId shard) {
		if (shard.service().isEmpty()) {
			return true;
		}
		return this.view.service(shard.service())
			.flatMap((service) -> this.view.shard(service, key))
			.filter((current) -> current.id().equals(shard))
			.isPresent();
	}

	/**
	 * Waits until the view is newer than a version.
	 * @param version the version
	 * @param nanos the longest wait
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitNewer(long version, long nanos) throws InterruptedException {
		this.lock.lock();
		this.waiting++;
		try {
			long left = nanos;
			while (this.view.version() <= version && left > 0) {
				left = this.viewChanged.awaitNanos(left);
			}
		}
		finally {
			this.waiting--;
			this.lock.unlock();
		}
	}

	// Returns whether a request waits for a newer view.
	boolean newerViewWanted() {
		return this.waiting > 0;
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

	// Handles the leader's reply.
	// @return whether the view changed
	boolean reply(EntryHeartbeatReply reply) {
		this.lock.lock();
		try {
			long before = this.view.version();
			this.agent.handleHeartbeatReply(reply, this.clock.getAsLong());
			this.view = this.agent.view();
			if (this.view.version() != before) {
				EventLog.log(Event.VIEW_APPLIED, this.view.version());
				this.viewChanged.signalAll();
			}
			return this.view.version() != before;
		}
		catch (InvariantViolatedException ex) {
			this.broken = true;
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

	// Returns whether this instance holds the gate lease, and logs changes.
	boolean observe() {
		this.lock.lock();
		try {
			long now = this.clock.getAsLong();
			boolean nowLeased = now < this.agent.gateLeaseEnd();
			if (this.leased && !nowLeased) {
				EventLog.log(Event.LEASE_LOST);
			}
			this.leased = nowLeased;
			boolean nowSilent = !this.agent.mayRoute(now);
			if (nowSilent && !this.silent) {
				EventLog.log(Event.CONTROL_SILENT);
			}
			else if (this.silent && !nowSilent) {
				EventLog.log(Event.CONTROL_HEARD, this.view.version());
			}
			this.silent = nowSilent;
			return nowLeased;
		}
		finally {
			this.lock.unlock();
		}
	}

}
