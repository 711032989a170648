package org.redwingramp.core.traffic;

/**
 * How the targets of a service learn which key ranges they own. Immutable and thread
 * safe.
 */
public enum GrantMode {

	/** The control leader calls the target for each grant, renewal and release. */
	CALL,

	/**
	 * The reply to each heartbeat of the target lists all its ranges. The target releases
	 * every other range and reports that in a later heartbeat.
	 */
	HEARTBEAT

}
