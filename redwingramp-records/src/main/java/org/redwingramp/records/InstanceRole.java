package org.redwingramp.records;

import java.util.Locale;

/**
 * What an instance does. Immutable and thread safe.
 */
public enum InstanceRole {

	/** Keeps a replica of the control state on its disk. */
	CONTROL,

	/** Accepts callers' requests and is the gate of targets. */
	ENTRY;

	/**
	 * Returns the name used in settings.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
