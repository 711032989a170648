package org.redwingramp.core.control;

import java.util.Optional;

/**
 * The result of applying a command. The same on every replica. All implementations are
 * immutable records and thread safe.
 */
public sealed interface CommandResult {

	/**
	 * The command changed the state, or had already done so.
	 *
	 * @param viewVersion the view version after the command
	 */
	record Applied(long viewVersion) implements CommandResult {
	}

	/**
	 * The command didn't change the state.
	 *
	 * @param code why, for programs
	 * @param detail what was expected and found, for people
	 */
	record Refused(RefusalCode code, String detail) implements CommandResult {
	}

	/**
	 * A record is accepted, now or earlier with the same content.
	 *
	 * @param revision the configuration revision that accepted it, rising over all
	 * records
	 * @param viewVersion the view version in which it is in force
	 * @param repeated whether it had been accepted earlier
	 */
	record RecordAccepted(long revision, long viewVersion, boolean repeated) implements CommandResult {
	}

	/**
	 * The answer to {@link Command.BeginRequest}.
	 *
	 * @param status what the ledger holds
	 * @param attempt the attempt that holds it
	 * @param answer the recorded answer, present for {@link Status#DONE}
	 */
	record Begun(Status status, long attempt, Optional<StoredAnswer> answer) implements CommandResult {

		/** What the ledger says about a request. */
		public enum Status {

			/** Recorded now; it may be sent once. */
			STARTED,

			/** Another attempt may still be running. */
			RUNNING,

			/** It ran and its answer is known. */
			DONE,

			/** It may have run. */
			UNKNOWN,

			/** The same key was used for different content; nothing ran. */
			DIGEST_MISMATCH,

			/** It is older than the ledger's retention and may have run. */
			EXPIRED,

			/** It was issued too far in the future; nothing ran. */
			NOT_YET_VALID,

			/**
			 * The sender is no longer the gate or the shard's fence changed; nothing ran.
			 */
			STALE_GATE

		}

	}

}
