package org.redwingramp.core.control;

/**
 * The reason why a command was refused. Immutable and thread safe.
 */
public enum RefusalCode {

	/** The same version was accepted with different content. */
	VERSION_CONFLICT,

	/** The version is not the successor of the version in force. */
	VERSION_GAP,

	/** The version is older than the one in force. */
	VERSION_OUTDATED,

	/** The record was withdrawn at this version or a later one. */
	WITHDRAWN,

	/** The record, target, entry instance or shard does not exist. */
	NOT_FOUND,

	/**
	 * The command refers to a resource that does not exist, or contradicts the current
	 * state or another record.
	 */
	INCONSISTENT,

	/** The name is in use by another active instance. */
	NAME_TAKEN,

	/** The command refers to an earlier incarnation, epoch, fence or phase. */
	STALE,

	/** The state already holds the maximum number of items of this kind. */
	LIMIT_REACHED

}
