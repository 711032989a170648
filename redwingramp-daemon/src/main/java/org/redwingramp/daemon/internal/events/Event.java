package org.redwingramp.daemon.internal.events;

import java.util.logging.Level;

/**
 * The numbered log events. A number is never reused. docs/EVENTS.md is the catalogue; a
 * test holds both together. Immutable and thread safe.
 */
public enum Event {

	/** The process has started. */
	STARTED(1001, Level.INFO, "instance %s started: roles %s, callers %s, operators %s, internal %s"),

	/** A graceful shutdown began. */
	STOPPING(1002, Level.INFO, "instance %s is stopping: %s requests in flight"),

	/** The process has stopped. */
	STOPPED(1003, Level.INFO, "instance %s stopped after %s ms: %s requests cut"),

	/** A request was routed. */
	ROUTED(2001, Level.INFO, "route request=%s service=%s key=%s shard=%s fence=%s target=%s gate=%s class=%s"),

	/** A request was answered. */
	ANSWERED(2002, Level.INFO, "answer request=%s outcome=%s status=%s code=%s elapsed_us=%s"),

	/** A request is tried again. */
	RETRIED(2003, Level.INFO, "retry request=%s after=%s attempt=%s"),

	/** A request was hedged. */
	HEDGED(2004, Level.INFO, "hedge request=%s first=%s second=%s"),

	/** An answer was dropped because it wasn't whole or belonged to another request. */
	ANSWER_DROPPED(2005, Level.WARNING, "drop answer request=%s target=%s reason=%s"),

	/** A gate was opened for a target. */
	GATE_OPENED(3001, Level.INFO, "gate open target=%s epoch=%s slots=%s"),

	/** A gate was closed. */
	GATE_CLOSED(3002, Level.INFO, "gate close target=%s epoch=%s reason=%s"),

	/** The leader decided on a change of placement. */
	PLACEMENT(3003, Level.INFO, "placement %s"),

	/** A gate found its target lost. */
	TARGET_LOST(3004, Level.WARNING, "target lost target=%s epoch=%s reason=%s"),

	/** A target announced itself. */
	TARGET_ANNOUNCED(3005, Level.INFO, "target announced target=%s service=%s address=%s domain=%s boot=%s"),

	/** A target's limit changed. */
	LIMIT_CHANGED(3006, Level.INFO, "limit target=%s limit=%s warm=%s service_us=%s"),

	/** A shard was served again after its owner was lost. */
	SHARD_SERVED(3007, Level.INFO, "shards granted target=%s epoch=%s shards=%s"),

	/** This replica's role changed. */
	ROLE_CHANGED(4001, Level.INFO, "replica %s is %s in term %s, leader %s"),

	/** A configuration revision was accepted. */
	RECORD_ACCEPTED(4002, Level.INFO, "record accepted kind=%s name=%s version=%s revision=%s operator=%s"),

	/** A submission was refused. */
	RECORD_REFUSED(4003, Level.INFO, "record refused kind=%s name=%s code=%s operator=%s"),

	/** A view came into force on this instance. */
	VIEW_APPLIED(4004, Level.FINE, "view applied version=%s"),

	/** Control hasn't been heard within the view lifetime. */
	CONTROL_SILENT(4005, Level.WARNING, "control not heard within the view lifetime: requests are refused as not run"),

	/** Control is heard again. */
	CONTROL_HEARD(4006, Level.INFO, "control heard again, view version=%s"),

	/** A damaged data folder was set aside. */
	STORE_RESET(4007, Level.SEVERE, "data folder damaged, replica starts blank under a new incarnation: %s"),

	/** A snapshot was taken. */
	SNAPSHOT(4008, Level.INFO, "snapshot index=%s bytes=%s"),

	/** The gate lease ended. */
	LEASE_LOST(4009, Level.WARNING, "gate lease over: nothing is sent to targets until control renews it"),

	/** Another daemon is reached. */
	PEER_REACHED(4010, Level.INFO, "peer reached address=%s"),

	/** Another daemon can't be reached, or a connection to it is silent. */
	PEER_UNREACHABLE(4011, Level.WARNING, "peer unreachable address=%s reason=%s"),

	/** A request had no valid credential. */
	UNAUTHORISED(5001, Level.WARNING, "unauthorised port=%s remote=%s reason=%s"),

	/** A message on the internal port was refused. */
	PEER_REFUSED(5002, Level.WARNING, "peer refused remote=%s reason=%s"),

	/** An announcement was refused. */
	ANNOUNCEMENT_REFUSED(5003, Level.WARNING, "announcement refused target=%s remote=%s reason=%s"),

	/** An invariant doesn't hold; the part stops. */
	INVARIANT_VIOLATED(6001, Level.SEVERE, "invariant violated in %s, the part stops: %s"),

	/** The durable storage failed; the control role stops. */
	STORAGE_FAILED(6002, Level.SEVERE, "storage failed, the control role stops: %s"),

	/** A duty ended by an unexpected failure and is started again. */
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
	 * Returns the event's number as it stands in the log.
	 * @return the number, for example {@code RWR-2001}
	 */
	public String code() {
		return "RWR-" + this.number;
	}

	/**
	 * Returns the event's level.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message with a {@code %s} for each argument.
	 * @return the template
	 */
	public String template() {
		return this.template;
	}

}
