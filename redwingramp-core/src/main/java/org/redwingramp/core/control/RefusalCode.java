package org.redwingramp.core.control;

/**
 * Why a command was refused. Immutable and thread safe.
 */
public enum RefusalCode {

	/** The same version was accepted with different content. */
	VERSION_CONFLICT,

	/** The version isn't the next one. */
	VERSION_GAP,

	/** The version is older than the one in force. */
	VERSION_OUTDATED,

	/** The record was withdrawn at that version or a later one. */
	WITHDRAWN,

	/** No such record, target, entry instance or shard. */
	NOT_FOUND,

	/**
	 * The record refers to something that doesn't exist or contradicts another record.
	 */
	INCONSISTENT,

	/** The name is in use by another live instance. */
	NAME_TAKEN,

	/** The command names a former run, epoch or fence. */
	STALE,

	/** The state already holds as many items as it may. */
	LIMIT_REACHED

}
