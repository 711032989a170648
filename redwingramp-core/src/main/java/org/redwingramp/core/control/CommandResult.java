package org.redwingramp.core.control;

import java.util.Optional;

/**
 * The result of applying a command, identical on every replica. All implementations are
 * immutable records and thread safe.
 */
public sealed interface CommandResult {

	/**
	 * The command changed the state, or its effect was already in place.
	 *
	 * @param viewVersion the view version after the command
	 */
	record Applied(long viewVersion) implements CommandResult {
	}

	/**
	 * The command was refused and left the state unchanged.
	 *
	 * @param code the reason as a code that programs can evaluate
	 * @param detail a readable explanation with the expected and the actual value
	 */
	record Refused(RefusalCode code, String detail) implements CommandResult {
	}

	/**
	 * The record was accepted by this command, or earlier with the same version and
	 * content.
	 *
	 * @param revision the configuration revision assigned on acceptance; revisions rise
	 * across all records
	 * @param viewVersion the view version from which the record is in force
	 * @param repeated whether the record had already been accepted earlier
	 */
	record RecordAccepted(long revision, long viewVersion, boolean repeated) implements CommandResult {
	}

	/**
	 * The result of {@link Command.BeginRequest}.
	 *
	 * @param status the state of the request in the ledger
	 * @param attempt the attempt that the status refers to, identified by the log index
	 * of its {@link Command.BeginRequest}
	 * @param answer the recorded response, present for {@link Status#DONE}
	 */
	record Begun(Status status, long attempt, Optional<StoredAnswer> answer) implements CommandResult {

		/** The state of a request in the ledger. */
		public enum Status {

			/** The request was recorded by this command and may be sent once. */
			STARTED,

			/** Another attempt may still be running. */
			RUNNING,

			/** The request ran and its response is recorded. */
			DONE,

			/** The request may have run; its outcome is unknown. */
			UNKNOWN,

			/**
			 * The idempotency key was already used for a request with different content;
			 * this request did not run.
			 */
			DIGEST_MISMATCH,

			/**
			 * The request is older than the ledger's retention and may have run earlier.
			 */
			EXPIRED,

			/**
			 * The time of issue is too far in the future; the request did not run.
			 */
			NOT_YET_VALID,

			/**
			 * The sender is no longer the target's gate, or the shard is no longer owned
			 * by the target under this fence; the request did not run.
			 */
			STALE_GATE

		}

	}

}
