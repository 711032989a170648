package org.redwingramp.core.control;

import java.util.List;

import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A change of the control state. Commands are written to the replicated log, so their
 * encoded form is durable. All implementations are immutable records and thread safe.
 */
public sealed interface Command {

	/**
	 * Submits or revises a record.
	 *
	 * @param record the record
	 * @param operator the operator's name, for the log
	 */
	record SubmitRecord(OperatorRecord record, String operator) implements Command {
	}

	/**
	 * Withdraws a record.
	 *
	 * @param kind the record's kind
	 * @param name the record's name
	 * @param version the version that is withdrawn
	 * @param operator the operator's name, for the log
	 */
	record WithdrawRecord(RecordKind kind, String name, long version, String operator) implements Command {
	}

	/**
	 * Adds an entry instance, or replaces the one of the same name by a new run of it.
	 *
	 * @param entry the entry instance
	 */
	record RegisterEntry(EntrySpec entry) implements Command {
	}

	/**
	 * Marks an entry instance as stopping: it gets no new gates and hands over those it
	 * has.
	 *
	 * @param name the instance's name
	 * @param bootId the run that is meant
	 */
	record EntryLeaving(String name, String bootId) implements Command {
	}

	/**
	 * Removes an entry instance whose lease is over.
	 *
	 * @param name the instance's name
	 * @param bootId the run that is meant
	 */
	record RemoveEntry(String name, String bootId) implements Command {
	}

	/**
	 * Adds a target or a new run of it.
	 *
	 * @param target the target
	 */
	record AnnounceTarget(TargetSpec target) implements Command {
	}

	/**
	 * Marks a target as draining: its shards move away.
	 *
	 * @param name the target's name
	 * @param bootId the run that is meant
	 */
	record DrainTarget(String name, String bootId) implements Command {
	}

	/**
	 * Removes a target that has left. Refused while it owns shards.
	 *
	 * @param name the target's name
	 * @param bootId the run that is meant
	 */
	record TargetLeft(String name, String bootId) implements Command {
	}

	/**
	 * States that a target's grant lease is over and the target doesn't answer. Its
	 * shards become unowned.
	 *
	 * @param name the target's name
	 * @param bootId the run that is meant
	 * @param gateEpoch the gate epoch of the reporting gate
	 */
	record TargetLost(String name, String bootId, long gateEpoch) implements Command {
	}

	/**
	 * Gives targets to gates. Each assignment raises the target's gate epoch by 1.
	 *
	 * @param assignments the assignments
	 */
	record AssignGates(List<GateAssignment> assignments) implements Command {

		public AssignGates {
			assignments = List.copyOf(assignments);
		}

	}

	/**
	 * One target for one gate.
	 *
	 * @param target the target's name
	 * @param expectedEpoch the gate epoch that the assignment replaces
	 * @param entry the entry instance's name, empty for none
	 */
	record GateAssignment(String target, long expectedEpoch, String entry) {
	}

	/**
	 * Asks the owners of shards to release them.
	 *
	 * @param shards the shards with the fences that they have
	 */
	record ReleaseShards(List<FencedShard> shards) implements Command {

		public ReleaseShards {
			shards = List.copyOf(shards);
		}

	}

	/**
	 * States that shards are released: no request runs for them and their grants are
	 * withdrawn or over.
	 *
	 * @param shards the shards with the fences that they had
	 */
	record ShardsReleased(List<FencedShard> shards) implements Command {

		public ShardsReleased {
			shards = List.copyOf(shards);
		}

	}

	/**
	 * A shard with the fence that is expected.
	 *
	 * @param shard the shard
	 * @param fence the fence
	 */
	record FencedShard(ShardId shard, long fence) {
	}

	/**
	 * Gives unowned shards to targets. Each assignment raises the service's fence.
	 *
	 * @param assignments the assignments
	 */
	record AssignShards(List<ShardAssignment> assignments) implements Command {

		public AssignShards {
			assignments = List.copyOf(assignments);
		}

	}

	/**
	 * One shard for one target.
	 *
	 * @param shard the shard
	 * @param expectedFence the fence that the assignment replaces
	 * @param target the target's name
	 * @param bootId the run of the target that is meant
	 */
	record ShardAssignment(ShardId shard, long expectedFence, String target, String bootId) {
	}

	/**
	 * Splits a hot key out of its slice; the new shard has the slice's owner, phase and
	 * fence.
	 *
	 * @param key the new shard
	 */
	record SplitHotKey(ShardId key) implements Command {
	}

	/**
	 * Merges a key's shard back into its slice. Refused unless both have the same owner
	 * and are owned.
	 *
	 * @param key the shard
	 */
	record MergeHotKey(ShardId key) implements Command {
	}

	/**
	 * Records that a request is about to be sent. Only the result
	 * {@link CommandResult.Begun.Status#STARTED} permits sending it, once.
	 *
	 * @param request the request's identity
	 * @param digest the SHA-256 of method, path and body in hexadecimal
	 * @param target the target that it would be sent to
	 * @param gate the sending gate
	 * @param gateEpoch the gate epoch of the target
	 * @param shard the shard of the request, with an empty service for services without
	 * keys
	 * @param fence the shard's fence
	 * @param timeoutMillis the time after which the request counts as unknown
	 * @param token chosen anew by the gate for each send; a gate that doesn't know
	 * whether its command was committed repeats it with the same token and is started
	 * again, since it has sent nothing; empty if the gate never repeats
	 */
	record BeginRequest(RequestIdentity request, String digest, String target, String gate, long gateEpoch,
			ShardId shard, long fence, long timeoutMillis, String token) implements Command {

		/**
		 * Creates a command that is never repeated.
		 * @param request the request's identity
		 * @param digest the SHA-256 of method, path and body in hexadecimal
		 * @param target the target that it would be sent to
		 * @param gate the sending gate
		 * @param gateEpoch the gate epoch of the target
		 * @param shard the shard of the request
		 * @param fence the shard's fence
		 * @param timeoutMillis the time after which the request counts as unknown
		 */
		public BeginRequest(RequestIdentity request, String digest, String target, String gate, long gateEpoch,
				ShardId shard, long fence, long timeoutMillis) {
			this(request, digest, target, gate, gateEpoch, shard, fence, timeoutMillis, "");
		}

	}

	/**
	 * Records the whole answer of a request.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt, that is the index of its {@link BeginRequest}
	 * @param answer the answer
	 */
	record FinishRequest(RequestIdentity request, long attempt, StoredAnswer answer) implements Command {
	}

	/**
	 * Records that a request certainly didn't run, so that it may be sent again.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt
	 */
	record AbortRequest(RequestIdentity request, long attempt) implements Command {
	}

	/**
	 * Records that a request may have run.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt
	 */
	record MarkUnknown(RequestIdentity request, long attempt) implements Command {
	}

	/** Drops the ledger's records that are older than their service's retention. */
	record ExpireLedger() implements Command {
	}

}
