package org.redwingramp.daemon.internal.events;

import java.util.logging.Level;

/**
 * The numbered log events. Numbers are never reused. docs/EVENTS.md lists all events with
 * their levels and templates; EventTests checks that the list matches. Immutable and
 * thread safe.
 */
public enum Event {

	/** The process has started. */
	STARTED(1001, Level.INFO, "instance %s started: roles %s, callers %s, operators %s, internal %s"),

	/** A graceful shutdown has begun. */
	STOPPING(1002, Level.INFO, "instance %s is stopping: %s requests in flight"),

	/** The process has stopped. */
	STOPPED(1003, Level.INFO, "instance %s stopped after %s ms: %s requests cut"),

	/** A request is sent to the gate of its target. */
	ROUTED(2001, Level.INFO, "route request=%s service=%s key=%s shard=%s fence=%s target=%s gate=%s class=%s"),

	/** The response to a request is written to the caller. */
	ANSWERED(2002, Level.INFO, "answer request=%s outcome=%s status=%s code=%s elapsed_us=%s"),

	/** A request is retried within the retry budget. */
	RETRIED(2003, Level.INFO, "retry request=%s after=%s attempt=%s"),

	/** A request is hedged: a second send is started to another target. */
	HEDGED(2004, Level.INFO, "hedge request=%s first=%s second=%s"),

	/** An answer of a target was dropped: incomplete, or for another request. */
	ANSWER_DROPPED(2005, Level.WARNING, "drop answer request=%s target=%s reason=%s"),

	/** This instance opened the gate of a target. */
	GATE_OPENED(3001, Level.INFO, "gate open target=%s epoch=%s slots=%s"),

	/** This instance closed the gate of a target. */
	GATE_CLOSED(3002, Level.INFO, "gate close target=%s epoch=%s reason=%s"),

	/** The control leader proposes a change of placement. */
	PLACEMENT(3003, Level.INFO, "placement %s"),

	/** A gate declared its target lost. */
	TARGET_LOST(3004, Level.WARNING, "target lost target=%s epoch=%s reason=%s"),

	/** A target announced itself. */
	TARGET_ANNOUNCED(3005, Level.INFO, "target announced target=%s service=%s address=%s domain=%s boot=%s"),

	/** A gate changed the concurrency limit of its target. */
	LIMIT_CHANGED(3006, Level.INFO, "limit target=%s limit=%s warm=%s service_us=%s"),

	/**
	 * A target confirmed its first grant, or the first one after failed grants; it serves
	 * its shards from now on.
	 */
	SHARD_SERVED(3007, Level.INFO, "shards granted target=%s epoch=%s shards=%s"),

	/** The consensus role of this control replica changed. */
	ROLE_CHANGED(4001, Level.INFO, "replica %s is %s in term %s, leader %s"),

	/** A configuration record was accepted. */
	RECORD_ACCEPTED(4002, Level.INFO, "record accepted kind=%s name=%s version=%s revision=%s operator=%s"),

	/** The submission or withdrawal of a configuration record was refused. */
	RECORD_REFUSED(4003, Level.INFO, "record refused kind=%s name=%s code=%s operator=%s"),

	/** This instance adopted a newer view. */
	VIEW_APPLIED(4004, Level.FINE, "view applied version=%s"),

	/** No message from the control group was received within the view lifetime. */
	CONTROL_SILENT(4005, Level.WARNING, "control not heard within the view lifetime: requests are refused as not run"),

	/** Messages from the control group are received again. */
	CONTROL_HEARD(4006, Level.INFO, "control heard again, view version=%s"),

	/** A damaged data folder was moved aside; the replica starts with an empty state. */
	STORE_RESET(4007, Level.SEVERE, "data folder damaged, replica starts blank under a new incarnation: %s"),

	/** A snapshot of the replicated state was taken. */
	SNAPSHOT(4008, Level.INFO, "snapshot index=%s bytes=%s"),

	/** This instance's gate lease expired. */
	LEASE_LOST(4009, Level.WARNING, "gate lease over: nothing is sent to targets until control renews it"),

	/** A connection to another daemon was established. */
	PEER_REACHED(4010, Level.INFO, "peer reached address=%s"),

	/**
	 * Another daemon can't be reached, is unresponsive, or messages to it were dropped.
	 */
	PEER_UNREACHABLE(4011, Level.WARNING, "peer unreachable address=%s reason=%s"),

	/** A request to an HTTP port had no valid credential. */
	UNAUTHORISED(5001, Level.WARNING, "unauthorised port=%s remote=%s reason=%s"),

	/** A message on the internal port was refused. */
	PEER_REFUSED(5002, Level.WARNING, "peer refused remote=%s reason=%s"),

	/** A target's announcement was refused. */
	ANNOUNCEMENT_REFUSED(5003, Level.WARNING, "announcement refused target=%s remote=%s reason=%s"),

	/** An invariant is violated; the component stops. */
	INVARIANT_VIOLATED(6001, Level.SEVERE, "invariant violated in %s, the part stops: %s"),

	/** The durable storage failed; the control role of this instance stops. */
	STORAGE_FAILED(6002, Level.SEVERE, "storage failed, the control role stops: %s"),

	/** A task failed unexpectedly. A periodic task continues with its next run. */
	DUTY_FAILED(6003, Level.SEVERE, "duty %s failed: %s");

	private final int number;

	private final Level level;

	private final String template;

	Event(int number, Level level, String template) {
		this.number = number;
		this.level = level;
		this.template = template;
	}

	/**
	 * Returns the event's code as printed in the log.
	 * @return the code, for example {@code RWR-2001}
	 */
	public String code() {
		return "RWR-" + this.number;
	}

	/**
	 * Returns the log level of the event.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message template with a {@code %s} placeholder for each argument.
	 * @return the template
	 */
	public String template() {
		return this.template;
	}

}
