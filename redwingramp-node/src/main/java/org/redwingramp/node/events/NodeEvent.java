package org.redwingramp.node.events;

/**
 * The log events of a node, each with a numeric code. docs/NODE-EVENTS.md describes them
 * for operators. Immutable and thread safe.
 */
public enum NodeEvent {

	/** The process has started. */
	STARTED(7001, false),

	/** The process began a graceful shutdown. */
	STOPPING(7002, false),

	/** The process exits. */
	STOPPED(7003, false),

	/** The settings file was reloaded. */
	SETTINGS_RELOADED(7004, false),

	/**
	 * Log lines were dropped because the line rate limit was exceeded or the queue full.
	 */
	LINES_DROPPED(7005, true),

	/** A handler threw an unexpected exception. */
	UNEXPECTED_FAILURE(7006, true),

	/** A request was answered with the target's response. */
	REQUEST_ANSWERED(7101, false),

	/** A request was rejected and has not run on any target. */
	REQUEST_REFUSED(7102, true),

	/** A request failed and may have run. */
	REQUEST_FAILED(7103, true),

	/** The caller closed the connection before the response. */
	REQUEST_ABANDONED(7104, true),

	/** An attempt at a target got no usable response. */
	ATTEMPT_FAILED(7105, true),

	/** A request waits because no usable target is known to own its key. */
	REQUEST_WAITS(7106, true),

	/**
	 * It was decided whether a request may be sent to a target that is cold or states a
	 * rate limit.
	 */
	RATE_PERMIT(7107, false),

	/** A target broke the connection on which it had received a request. */
	CONNECTION_BROKEN(7108, true),

	/** A response on the connection of a request bears another identifier or none. */
	RESPONSE_MISMATCH(7109, true),

	/**
	 * This instance applied a view that contains a configuration, or didn't apply a view
	 * because it was outdated or based on another view than the current one.
	 */
	VIEW_APPLIED(7201, false),

	/** This instance receives messages of the control leader. */
	CONTROL_HEARD(7202, false),

	/** This instance receives no more messages of the control leader. */
	CONTROL_SILENT(7203, true),

	/** A link to another control replica was established or lost. */
	LINK_CHANGED(7204, false),

	/** A target is temporarily avoided after failures. */
	TARGET_AVOIDED(7205, false),

	/** A call of a former leader wasn't relayed to a target. */
	RELAY_REFUSED(7206, true),

	/** An entry instance has fallen behind in acknowledging views, or has caught up. */
	ENTRY_BEHIND(7207, true),

	/** A target named, changed or withdrew a limit of its request rate. */
	TARGET_LIMIT(7208, true),

	/** A target crashed while a request was at it. */
	TARGET_CRASHED(7209, true),

	/** A target answered a request that had been at a crash of another one. */
	SUSPICION_CLEARED(7210, false),

	/** An element of a view was left out because it can't be used. */
	VIEW_ELEMENT_SKIPPED(7211, true),

	/** A target stated in a response that it leaves. */
	TARGET_LEAVES(7212, true),

	/** A target stated in a refusal that it wants no requests for some time. */
	TARGET_PAUSES(7213, true),

	/** This entry instance has stopped or resumed following the control leader. */
	FOLLOWING_CHANGED(7214, true),

	/**
	 * A target replied to a relayed release, or it didn't confirm a relayed grant.
	 */
	CALL_RELAYED(7215, false),

	/** A view concerned a target that was cold before it or is cold now. */
	TARGET_COLD(7216, false),

	/** This replica's role changed. */
	ROLE_CHANGED(7301, false),

	/** A control call of an operator or a target was answered. */
	CONTROL_CALL(7302, false),

	/** The controller made a decision about targets or keys. */
	CONTROLLER_DECISION(7303, false),

	/** A command was committed to the replicated log. */
	COMMITTED(7304, false),

	/** An operator's change was acknowledged. */
	CHANGE_CONFIRMED(7306, false),

	/** This replica stopped leading before the outcome of its proposals was known. */
	PROPOSALS_ABANDONED(7307, true),

	/** The data directory is corrupted or can't be written. */
	STORAGE_FAILED(7305, true);

	private final int number;

	private final boolean important;

	NodeEvent(int number, boolean important) {
		this.number = number;
		this.important = important;
	}

	/**
	 * Returns the code of the event, {@code RWR-} and its number.
	 * @return the code
	 */
	public String code() {
		return "RWR-" + this.number;
	}

	/**
	 * Returns whether the event may use the part of the line rate that is reserved for
	 * failures and other important events.
	 * @return whether the event is important
	 */
	public boolean important() {
		return this.important;
	}

}
