package org.redwingramp.core.control.internal;

import java.util.List;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlState;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.ViewUpdate;

/**
 * The replicated state machine: dispatches each command to the class that implements it,
 * checks the invariants and publishes the changes as the next view. Not thread safe; one
 * thread owns it.
 *
 * <p>
 * Invariant: the view version increases by exactly 1 with each command that changes the
 * view, and not with others.
 */
public final class ReplicatedState implements ControlState {

	private final ChangeHistory history = new ChangeHistory();

	private final ShardRules shards = new ShardRules();

	private final RecordRules records = new RecordRules(this.shards);

	private final Ledger ledger;

	private ImmutableView view;

	private long clockMillis;

	private ReplicatedState(String clusterId, int maxLedgerRecords) {
		this.view = ImmutableView.empty(clusterId, 0);
		this.ledger = new Ledger(maxLedgerRecords);
	}

	/**
	 * Creates an empty state.
	 * @param clusterId the control group's identifier
	 * @return the state
	 */
	public static ReplicatedState create(String clusterId) {
		return new ReplicatedState(clusterId, Ledger.MAX_RECORDS);
	}

	static ReplicatedState create(String clusterId, int maxLedgerRecords) {
		return new ReplicatedState(clusterId, maxLedgerRecords);
	}

	@Override
	public CommandResult apply(long index, long clock, Command command) throws InvariantViolatedException {
		this.clockMillis = Math.max(this.clockMillis, clock);
		ViewChanges changes = new ViewChanges(this.view);
		CommandResult result = dispatch(index, command, changes);
		if (!changes.isEmpty()) {
			ViewUpdate update = changes.update();
			ImmutableView next = this.view.with(update);
			StateChecks.requireValidTransition(this.view, next, update);
			this.view = next;
			this.history.add(update);
		}
		return result;
	}

	private CommandResult dispatch(long index, Command command, ViewChanges changes) {
		if (command instanceof Command.BeginRequest begin) {
			return this.ledger.begin(begin, index, this.clockMillis, this.view);
		}
		if (command instanceof Command.FinishRequest finish) {
			return this.ledger.finish(finish, this.view.version());
		}
		if (command instanceof Command.AbortRequest abort) {
			return this.ledger.abort(abort, this.view.version());
		}
		if (command instanceof Command.MarkUnknown unknown) {
			return this.ledger.markUnknown(unknown, this.view.version());
		}
		if (command instanceof Command.ExpireLedger) {
			return this.ledger.expire(this.clockMillis, this.view);
		}
		if (command instanceof Command.SubmitRecord submit) {
			return this.records.submit(submit.record(), changes);
		}
		if (command instanceof Command.WithdrawRecord withdraw) {
			return this.records.withdraw(withdraw, changes);
		}
		return dispatchTargets(command, changes);
	}

	private CommandResult dispatchTargets(Command command, ViewChanges changes) {
		if (command instanceof Command.AnnounceTarget announce) {
			return TargetRules.announce(announce.target(), changes);
		}
		if (command instanceof Command.DrainTarget drain) {
			return TargetRules.drain(drain, changes);
		}
		if (command instanceof Command.TargetLeft left) {
			return TargetRules.left(left, changes);
		}
		if (command instanceof Command.TargetLost lost) {
			return TargetRules.lost(lost, changes);
		}
		if (command instanceof Command.RegisterEntry register) {
			return EntryRules.register(register.entry(), changes);
		}
		if (command instanceof Command.EntryLeaving leaving) {
			return EntryRules.leaving(leaving.name(), leaving.bootId(), changes);
		}
		if (command instanceof Command.RemoveEntry remove) {
			return EntryRules.remove(remove.name(), remove.bootId(), changes);
		}
		if (command instanceof Command.AssignGates assign) {
			return EntryRules.assign(assign.assignments(), changes);
		}
		return dispatchShards(command, changes);
	}

	private CommandResult dispatchShards(Command command, ViewChanges changes) {
		if (command instanceof Command.ReleaseShards release) {
			return this.shards.release(release.shards(), changes);
		}
		if (command instanceof Command.ShardsReleased released) {
			return this.shards.released(released.shards(), changes);
		}
		if (command instanceof Command.AssignShards assign) {
			return this.shards.assign(assign.assignments(), changes);
		}
		if (command instanceof Command.SplitHotKey split) {
			return this.shards.split(split.key(), changes);
		}
		if (command instanceof Command.MergeHotKey merge) {
			return this.shards.merge(merge.key(), changes);
		}
		throw new IllegalArgumentException("unsupported command type: " + command.getClass().getName());
	}

	@Override
	public ControlView view() {
		return this.view;
	}

	@Override
	public ViewUpdate changesSince(long version) {
		if (version == this.view.version() && version > 0) {
			return new ViewUpdate(this.view.clusterId(), version, version, List.of(), List.of(), List.of(), List.of(),
					List.of());
		}
		return this.history.since(version).orElseGet(this.view::completeUpdate);
	}

	@Override
	public long revision() {
		return this.records.revision();
	}

	@Override
	public int ledgerSize() {
		return this.ledger.size();
	}

	@Override
	public ControlSnapshot snapshot() {
		ViewUpdate complete = this.view.completeUpdate();
		return new ControlSnapshot(complete.clusterId(), complete.toVersion(), this.records.revision(),
				this.shards.lastFence(), this.clockMillis, complete.records(), List.copyOf(this.records.tombstones()),
				complete.entries(), complete.targets(), complete.shards(), this.ledger.records(),
				this.ledger.expiryFloors());
	}

	@Override
	public void restore(ControlSnapshot snapshot) {
		this.history.clear();
		this.shards.restore(snapshot.lastFence());
		this.records.restore(snapshot.revision(), snapshot.tombstones());
		this.ledger.restore(snapshot.ledger(), snapshot.ledgerFloors());
		this.clockMillis = snapshot.clockMillis();
		this.view = ImmutableView.empty(snapshot.clusterId(), snapshot.viewVersion())
			.with(new ViewUpdate(snapshot.clusterId(), 0, snapshot.viewVersion(), snapshot.records(),
					snapshot.entries(), snapshot.targets(), snapshot.shards(), List.of()));
	}

}
