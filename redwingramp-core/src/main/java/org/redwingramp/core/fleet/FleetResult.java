package org.redwingramp.core.fleet;

/**
 * Result of applying a {@link FleetCommand}. Immutable and thread safe.
 *
 * @param outcome the outcome
 * @param configVersion the version of the configuration in force after the command
 */
public record FleetResult(Outcome outcome, long configVersion) {

	/** The outcomes of a command. */
	public enum Outcome {

		/** The command took effect. */
		ACCEPTED(true),

		/** The same configuration was accepted before; nothing changed. */
		ALREADY_ACCEPTED(true),

		/** The change is based on another version than the one in force. */
		WRONG_BASE(false),

		/** The new version isn't higher than the one in force. */
		VERSION_NOT_HIGHER(false);

		private final boolean accepted;

		Outcome(boolean accepted) {
			this.accepted = accepted;
		}

		/**
		 * Returns whether the change is reported to the operator as accepted.
		 * @return whether it is reported as accepted
		 */
		public boolean accepted() {
			return this.accepted;
		}

	}

}
