package org.redwingramp.core.control;

import org.redwingramp.core.control.internal.EntrySession;
import org.redwingramp.core.model.EntrySpec;

/**
 * Creates entry agents. Stateless and thread safe.
 */
public final class EntryAgents {

	private EntryAgents() {
	}

	/**
	 * Creates the agent of one run of an entry instance.
	 * @param entry the instance
	 * @param timing the leases
	 * @return the agent, without a view and without a lease
	 */
	public static EntryAgent create(EntrySpec entry, ControlTiming timing) {
		return new EntrySession(entry, timing);
	}

}
