package org.redwingramp.core.control;

import java.util.List;

import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.model.TargetSpec;

/**
 * A state change that the control leader proposes to the replicated log. The encoded form
 * of a command is durable. All implementations are immutable records and thread safe.
 */
public sealed interface Command {

	/**
	 * Creates a configuration record or replaces its content by a newer version.
	 *
	 * @param record the record
	 * @param operator the operator's name, used for logging only
	 */
	record SubmitRecord(OperatorRecord record, String operator) implements Command {
	}

	/**
	 * Deletes a configuration record.
	 *
	 * @param kind the record's kind
	 * @param name the record's name
	 * @param version the version in force, which the command withdraws
	 * @param operator the operator's name, used for logging only
	 */
	record WithdrawRecord(RecordKind kind, String name, long version, String operator) implements Command {
	}

	/**
	 * Registers an entry instance. An instance registered under the same name is replaced
	 * by the new incarnation.
	 *
	 * @param entry the entry instance
	 */
	record RegisterEntry(EntrySpec entry) implements Command {
	}

	/**
	 * Marks an entry instance as stopping. It receives no new gates and hands over its
	 * current ones.
	 *
	 * @param name the instance's name
	 * @param bootId identifies the incarnation that the command applies to
	 */
	record EntryLeaving(String name, String bootId) implements Command {
	}

	/**
	 * Removes an entry instance whose gate lease has expired.
	 *
	 * @param name the instance's name
	 * @param bootId identifies the incarnation that the command applies to
	 */
	record RemoveEntry(String name, String bootId) implements Command {
	}

	/**
	 * Registers a target, or a new incarnation of a registered target.
	 *
	 * @param target the target
	 */
	record AnnounceTarget(TargetSpec target) implements Command {
	}

	/**
	 * Marks a target as draining, so that its shards are moved to other targets.
	 *
	 * @param name the target's name
	 * @param bootId identifies the incarnation that the command applies to
	 */
	record DrainTarget(String name, String bootId) implements Command {
	}

	/**
	 * Removes a target that has left the cluster. Refused while the target owns shards.
	 *
	 * @param name the target's name
	 * @param bootId identifies the incarnation that the command applies to
	 */
	record TargetLeft(String name, String bootId) implements Command {
	}

	/**
	 * Marks a target as lost: its grant lease has expired and it does not respond to
	 * grants. Its shards become unowned.
	 *
	 * @param name the target's name
	 * @param bootId identifies the incarnation that the command applies to
	 * @param gateEpoch the gate epoch of the reporting gate
	 */
	record TargetLost(String name, String bootId, long gateEpoch) implements Command {
	}

	/**
	 * Assigns targets to the entry instances that act as their gates. Each assignment
	 * increments the target's gate epoch.
	 *
	 * @param assignments the assignments
	 */
	record AssignGates(List<GateAssignment> assignments) implements Command {

		public AssignGates {
			assignments = List.copyOf(assignments);
		}

	}

	/**
	 * The assignment of one target to one gate.
	 *
	 * @param target the target's name
	 * @param expectedEpoch the gate epoch before the assignment; the assignment is
	 * refused if the current epoch differs
	 * @param entry the name of the entry instance that becomes the gate, empty for none
	 */
	record GateAssignment(String target, long expectedEpoch, String entry) {
	}

	/**
	 * Requests that the owners of shards release them.
	 *
	 * @param shards the shards with their current fences
	 */
	record ReleaseShards(List<FencedShard> shards) implements Command {

		public ReleaseShards {
			shards = List.copyOf(shards);
		}

	}

	/**
	 * Confirms the release of shards: no request for them is running, and their grants
	 * have been withdrawn or have expired.
	 *
	 * @param shards the shards with the fences under which they were owned
	 */
	record ShardsReleased(List<FencedShard> shards) implements Command {

		public ShardsReleased {
			shards = List.copyOf(shards);
		}

	}

	/**
	 * A shard together with its fencing token.
	 *
	 * @param shard the shard
	 * @param fence the fencing token of the shard's owner, which rises with each owner
	 */
	record FencedShard(ShardId shard, long fence) {
	}

	/**
	 * Assigns unowned shards to targets. Each assignment gives the shard a fence higher
	 * than all fences assigned before.
	 *
	 * @param assignments the assignments
	 */
	record AssignShards(List<ShardAssignment> assignments) implements Command {

		public AssignShards {
			assignments = List.copyOf(assignments);
		}

	}

	/**
	 * The assignment of one shard to one target.
	 *
	 * @param shard the shard
	 * @param expectedFence the fence before the assignment; the assignment is refused if
	 * the current fence differs
	 * @param target the target's name
	 * @param bootId identifies the incarnation of the target that becomes the owner
	 */
	record ShardAssignment(ShardId shard, long expectedFence, String target, String bootId) {
	}

	/**
	 * Splits a hot key out of its slice. The new shard inherits the slice's owner, phase
	 * and fence.
	 *
	 * @param key the identifier of the new shard
	 */
	record SplitHotKey(ShardId key) implements Command {
	}

	/**
	 * Merges the shard of a hot key back into its slice. Refused unless both are in phase
	 * {@link ShardPhase#OWNED} and have the same owner.
	 *
	 * @param key the identifier of the hot key's shard
	 */
	record MergeHotKey(ShardId key) implements Command {
	}

	/**
	 * Records in the ledger that an at-most-once request is about to be sent. Only the
	 * result {@link CommandResult.Begun.Status#STARTED} permits the gate to send it, and
	 * only once.
	 *
	 * @param request the request's identity
	 * @param digest the SHA-256 of method, path and body in hexadecimal
	 * @param target the target that the request is to be sent to
	 * @param gate the name of the entry instance that sends the request
	 * @param gateEpoch the gate epoch of the target
	 * @param shard the shard of the request, with an empty service for services without
	 * keys
	 * @param fence the shard's fence
	 * @param timeoutMillis the time after which a request without a recorded response
	 * counts as unknown
	 * @param token a unique value that the gate chooses for each send, empty if the gate
	 * never retries the command. A gate that does not know whether its command was
	 * committed retries it with the same token and gets {@code STARTED} again, which is
	 * safe because it has not sent the request yet.
	 */
	record BeginRequest(RequestIdentity request, String digest, String target, String gate, long gateEpoch,
			ShardId shard, long fence, long timeoutMillis, String token) implements Command {

		/**
		 * Creates a command without a token, which the gate never retries.
		 * @param request the request's identity
		 * @param digest the SHA-256 of method, path and body in hexadecimal
		 * @param target the target that the request is to be sent to
		 * @param gate the name of the entry instance that sends the request
		 * @param gateEpoch the gate epoch of the target
		 * @param shard the shard of the request
		 * @param fence the shard's fence
		 * @param timeoutMillis the time after which a request without a recorded response
		 * counts as unknown
		 */
		public BeginRequest(RequestIdentity request, String digest, String target, String gate, long gateEpoch,
				ShardId shard, long fence, long timeoutMillis) {
			this(request, digest, target, gate, gateEpoch, shard, fence, timeoutMillis, "");
		}

	}

	/**
	 * Records the complete response to a request.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt, identified by the log index of its {@link BeginRequest}
	 * @param answer the response
	 */
	record FinishRequest(RequestIdentity request, long attempt, StoredAnswer answer) implements Command {
	}

	/**
	 * Records that an attempt certainly did not run, so that the request may be sent
	 * again.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt, identified by the log index of its {@link BeginRequest}
	 */
	record AbortRequest(RequestIdentity request, long attempt) implements Command {
	}

	/**
	 * Records that an attempt may have run and that its outcome is unknown.
	 *
	 * @param request the request's identity
	 * @param attempt the attempt, identified by the log index of its {@link BeginRequest}
	 */
	record MarkUnknown(RequestIdentity request, long attempt) implements Command {
	}

	/** Removes ledger records that are older than the retention of their service. */
	record ExpireLedger() implements Command {
	}

}
