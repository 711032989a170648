package org.redwingramp.records;

import java.util.Locale;

/**
 * A role that an instance of the daemon can have. Immutable and thread safe.
 */
public enum InstanceRole {

	/** Stores a replica of the control state on disk. */
	CONTROL,

	/** Accepts requests from callers and acts as the gate of targets. */
	ENTRY;

	/**
	 * Returns the name of this role in settings.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
