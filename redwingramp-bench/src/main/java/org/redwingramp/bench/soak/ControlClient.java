package org.redwingramp.bench.soak;

import java.util.List;
import java.util.function.Consumer;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryHeartbeatReply;

/**
 * Sends commands and heartbeats of a process to the control replica that last replied,
 * and to the next replica if that one doesn't reply. Not thread safe.
 */
final class ControlClient {

	private static final long TIMEOUT_NANOS = 500 * Simulation.MILLISECOND;

	private final SimulatedCluster cluster;

	private final SimulatedProcess caller;

	private final List<LeaderSession> sessions;

	private int preferred;

	private long lastContactNanos;

	ControlClient(SimulatedCluster cluster, SimulatedProcess caller, List<LeaderSession> sessions) {
		this.cluster = cluster;
		this.caller = caller;
		this.sessions = sessions;
	}

	void propose(Command command, ProposalCallback callback) {
		LeaderSession session = this.sessions.get(this.preferred);
		Call call = new Call(callback, this.preferred);
		toReplica(session, () -> session.propose(command,
				(status, result) -> fromReplica(session, () -> call.finish(status, result))));
		this.caller.runAfter(TIMEOUT_NANOS, () -> call.finish(ProposalCallback.Status.UNKNOWN, null));
	}

	void heartbeat(EntryHeartbeat heartbeat, Consumer<EntryHeartbeatReply> receiver) {
		if (this.caller.clock() - this.lastContactNanos > TIMEOUT_NANOS / 2) {
			preferNext(this.preferred);
		}
		LeaderSession session = this.sessions.get(this.preferred);
		toReplica(session, () -> session.heartbeat(heartbeat).ifPresent((reply) -> fromReplica(session, () -> {
			this.lastContactNanos = this.caller.clock();
			receiver.accept(reply);
		})));
	}

	private void preferNext(int failed) {
		if (failed == this.preferred) {
			this.preferred = (this.preferred + 1) % this.sessions.size();
		}
	}

	private void toReplica(LeaderSession session, Runnable action) {
		this.cluster.network()
			.sendOnce(this.caller.name(), session.process().name(), () -> session.process().run(action));
	}

	private void fromReplica(LeaderSession session, Runnable action) {
		int incarnation = this.caller.incarnation();
		this.cluster.network().sendOnce(session.process().name(), this.caller.name(), () -> {
			if (this.caller.incarnation() == incarnation) {
				this.caller.run(action);
			}
		});
	}

	/**
	 * A proposal whose callback is called once, by the reply or the timeout.
	 */
	private final class Call {

		private final ProposalCallback callback;

		private final int replica;

		private boolean finished;

		Call(ProposalCallback callback, int replica) {
			this.callback = callback;
			this.replica = replica;
		}

		void finish(ProposalCallback.Status status, Object result) {
			if (!this.finished) {
				this.finished = true;
				if (status != ProposalCallback.Status.APPLIED) {
					preferNext(this.replica);
				}
				this.callback.done(status, result);
			}
		}

	}

}
