package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.EntrySession;
import org.redwingramp.core.model.EntrySpec;

/**
 * Factory for {@link EntryAgent} instances. Stateless and thread safe.
 */
public final class EntryAgents {

	private EntryAgents() {
	}

	/**
	 * Creates the agent of one incarnation of an entry instance.
	 * @param entry the entry instance
	 * @param timing the heartbeat, lease and timeout durations
	 * @return the agent, with an empty view and without a gate lease
	 */
	public static EntryAgent create(EntrySpec entry, ControlTiming timing) {
		return new EntrySession(entry, timing);
	}

}
