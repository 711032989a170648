package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyRange;

/**
 * Carries calls to {@link CallTarget}s: loses, delays and repeats them, loses replies,
 * and lets targets carry out a share of the calls seconds later without a reply.
 * Invariant: a call arrives within a second after it was sent, and before its sender is
 * told that it has no outcome. Not thread safe.
 */
final class CallNetwork {

	private static final long MS = SimulatedTime.MS;

	private static final int MAX_QUEUED_MILLIS = 600;

	private static final int GRANT_TIMEOUT_MILLIS = 400;

	private static final int RELEASE_TIMEOUT_MILLIS = 1000;

	private static final int RELAY_TIMEOUT_MILLIS = 1300;

	private static final int MIN_LATE_MILLIS = 2000;

	private static final int MAX_LATE_MILLIS = 12_000;

	/**
	 * Time after which a late grant no longer gives keys. Half of the late calls are
	 * carried out before, since the others can do no harm.
	 */
	private static final int GRANT_MILLIS = 3060;

	private static final int MAX_REPEAT_MILLIS = 150;

	private static final double STALE_CONFIRMATION = 0.05;

	/** Number of calls among five that wait in a queue before they are sent. */
	int queuedOfFive = 1;

	/** Share of the calls and replies that are lost. */
	double loss;

	/** Share of the calls that are carried out late and get no reply. */
	double late;

	private final SimulatedTime time;

	private final Random random;

	private final OwnershipCheck check;

	private final Map<String, CallTarget> byAddress = new HashMap<>();

	CallNetwork(SimulatedTime time, Random random, OwnershipCheck check) {
		this.time = time;
		this.random = random;
		this.check = check;
	}

	void started(CallTarget target) {
		this.byAddress.put(target.address, target);
	}

	boolean lost() {
		return this.random.nextDouble() < this.loss;
	}

	void send(Call call, Consumer<GrantOutcome> receiver) {
		Reply reply = new Reply(receiver);
		int queued = (this.random.nextInt(5) < this.queuedOfFive) ? this.random.nextInt(MAX_QUEUED_MILLIS) : 0;
		int timeout = queued + (call.release ? RELEASE_TIMEOUT_MILLIS : GRANT_TIMEOUT_MILLIS);
		int transit = 1 + this.random.nextInt((this.random.nextInt(5) == 0) ? GRANT_TIMEOUT_MILLIS - 1 : 3);
		this.time.schedule(call.relayed ? RELAY_TIMEOUT_MILLIS : timeout, () -> reply.accept(GrantOutcome.UNKNOWN));
		if (lost()) {
			// A copy of the reply to an earlier grant may be taken for the reply.
			if (!call.release && this.random.nextDouble() < STALE_CONFIRMATION) {
				this.time.schedule(queued + transit, () -> reply.accept(GrantOutcome.CONFIRMED));
			}
			return;
		}
		this.time.schedule(queued + transit, () -> arrive(call, reply, GRANT_TIMEOUT_MILLIS - 1 - transit));
	}

	// Sends a call of a process that is frozen afterwards and resets no connection. It
	// may
	// arrive later, but only at the process to which the connection leads.
	void sendFrozen(Call call, int maxMillis) {
		CallTarget target = this.byAddress.get(call.to.address());
		this.time.schedule(1 + this.random.nextInt(maxMillis), () -> {
			boolean arrives = target != null && target.alive && target.name.equals(call.to.name())
					&& target.reachable(call.relayed);
			if (arrives) {
				receive(call, target, new Reply((outcome) -> {
				}));
			}
		});
	}

	// A call that is repeated reaches the same process, since it is sent only over a
	// connection to it.
	private void arrive(Call call, Reply reply, int leftMillis) {
		CallTarget target = this.byAddress.get(call.to.address());
		if (target == null || !target.reachable(call.relayed)) {
			return;
		}
		if (!target.alive) {
			reply.accept(GrantOutcome.NOT_SENT);
		}
		else if (!target.name.equals(call.to.name())) {
			reply.accept(GrantOutcome.OTHER_TARGET);
		}
		else {
			receive(call, target, reply);
			if (lost()) {
				int repeated = Math.min(leftMillis, this.random.nextInt(MAX_REPEAT_MILLIS));
				this.time.schedule(repeated, () -> receive(call, target, reply));
			}
		}
	}

	private void receive(Call call, CallTarget target, Reply reply) {
		long arrived = this.time.now();
		if (this.random.nextDouble() < this.late) {
			int latest = this.random.nextBoolean() ? GRANT_MILLIS : MAX_LATE_MILLIS;
			int delay = MIN_LATE_MILLIS + this.random.nextInt(latest - MIN_LATE_MILLIS);
			this.time.schedule(delay, () -> carryOut(call, target, arrived, new Reply((outcome) -> {
			})));
		}
		else {
			carryOut(call, target, arrived, reply);
		}
	}

	private void carryOut(Call call, CallTarget target, long arrived, Reply reply) {
		if (!target.alive) {
			return;
		}
		boolean lost = lost();
		GrantOutcome outcome = GrantOutcome.CONFIRMED;
		long millis = 1;
		if (call.release) {
			millis += (target.release(call.keys, call.fence, this.time.now()) - this.time.now()) / MS;
		}
		else {
			outcome = target.grant(call.keys, call.fence, arrived, this.time.now(), this.check);
		}
		GrantOutcome received = outcome;
		if (!lost) {
			this.time.schedule(millis, () -> {
				if (target.alive && target.reachable(call.relayed)) {
					reply.accept(received);
				}
			});
		}
	}

	/**
	 * A grant or release of a range.
	 */
	record Call(FleetTarget to, KeyRange keys, long fence, boolean release, boolean relayed) {
	}

	// Passes on the first outcome of a call.
	private static final class Reply implements Consumer<GrantOutcome> {

		private final Consumer<GrantOutcome> receiver;

		private boolean received;

		Reply(Consumer<GrantOutcome> receiver) {
			this.receiver = receiver;
		}

		@Override
		public void accept(GrantOutcome outcome) {
			if (!this.received) {
				this.received = true;
				this.receiver.accept(outcome);
			}
		}

	}

}
