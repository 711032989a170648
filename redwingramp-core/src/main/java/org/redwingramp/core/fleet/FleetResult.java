package org.redwingramp.core.fleet;

/**
 * What became of a command. Immutable and thread safe.
 *
 * @param outcome the outcome
 * @param configVersion the version of the configuration in force after the command
 */
public record FleetResult(Outcome outcome, long configVersion) {

	/** The outcomes of a command. */
	public enum Outcome {

		/** The command is in force. */
		ACCEPTED(true),

		/** The same configuration was accepted before. */
		ALREADY_ACCEPTED(true),

		/** The change builds on another version than the current one. */
		WRONG_BASE(false),

		/** The version isn't above the current one. */
		VERSION_NOT_HIGHER(false);

		private final boolean accepted;

		Outcome(boolean accepted) {
			this.accepted = accepted;
		}

		/**
		 * Returns whether the operator's change counts as accepted.
		 * @return whether it is accepted
		 */
		public boolean accepted() {
			return this.accepted;
		}

	}

}
