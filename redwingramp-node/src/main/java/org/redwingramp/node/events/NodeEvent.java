package org.redwingramp.node.events;

/**
 * The numbered events of a node. Immutable and thread safe. docs/EVENTS.md explains each.
 */
public enum NodeEvent {

	/** The process has started. */
	STARTED(7001, false),

	/** A graceful shutdown began. */
	STOPPING(7002, false),

	/** The process ends. */
	STOPPED(7003, false),

	/** The settings file was read again. */
	SETTINGS_RELOADED(7004, false),

	/** Lines were dropped since the log's budget was used up. */
	LINES_DROPPED(7005, true),

	/** A handler failed unexpectedly. */
	UNEXPECTED_FAILURE(7006, true),

	/** A request was answered with the target's answer. */
	REQUEST_ANSWERED(7101, false),

	/** A request was refused as not run. */
	REQUEST_REFUSED(7102, true),

	/** A request failed and may have run. */
	REQUEST_FAILED(7103, true),

	/** The caller left before the answer. */
	REQUEST_ABANDONED(7104, true),

	/** An attempt at a target had no usable answer. */
	ATTEMPT_FAILED(7105, true),

	/** A request waits until its key has an owner. */
	REQUEST_WAITS(7106, true),

	/** A view came into force on this instance. */
	VIEW_APPLIED(7201, false),

	/** The control leader is heard by this instance. */
	CONTROL_HEARD(7202, false),

	/** The control leader isn't heard any more. */
	CONTROL_SILENT(7203, true),

	/** A link to another instance was established or lost. */
	LINK_CHANGED(7204, false),

	/** A target is avoided for a while or used again. */
	TARGET_AVOIDED(7205, false),

	/** A call of a former leader wasn't passed on to a target. */
	RELAY_REFUSED(7206, true),

	/** An entry instance doesn't acknowledge views in time, or does again. */
	ENTRY_BEHIND(7207, true),

	/** This replica's role changed. */
	ROLE_CHANGED(7301, false),

	/** A call of an operator or a target was answered. */
	CONTROL_CALL(7302, false),

	/** The controller decided something about targets or keys. */
	CONTROLLER_DECISION(7303, false),

	/** A command was committed. */
	COMMITTED(7304, false),

	/** An operator's change is acknowledged. */
	CHANGE_CONFIRMED(7306, false),

	/** The data folder is damaged or can't be written. */
	STORAGE_FAILED(7305, true);

	private final int number;

	private final boolean important;

	NodeEvent(int number, boolean important) {
		this.number = number;
		this.important = important;
	}

	/**
	 * Returns the code of the event.
	 * @return the code
	 */
	public String code() {
		return "RWR-" + this.number;
	}

	/**
	 * Returns whether the line is kept before others when lines have to be dropped.
	 * @return whether it tells of a failure
	 */
	public boolean important() {
		return this.important;
	}

}
