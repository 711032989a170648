package org.redwingramp.wire;

import java.util.Arrays;
import java.util.Optional;

/**
 * What a message between daemons carries. Codes are part of the protocol and must not
 * change. Immutable and thread safe.
 */
public enum Kind {

	/** Proves the sender's key on a new connection and tests idle ones; no payload. */
	PING(0, Lane.CONTROL),

	/** A consensus message, one-way. */
	CONSENSUS(1, Lane.CONTROL),

	/** Asks a replica for its identity and whether it is empty. */
	IDENTITY(2, Lane.CONTROL),

	/** An entry's heartbeat to the leader. */
	HEARTBEAT(3, Lane.CONTROL),

	/** A command for the replicated log. */
	PROPOSE(4, Lane.CONTROL),

	/** An operator's question about or change of records, passed on to the leader. */
	RECORDS(5, Lane.CONTROL),

	/** Asks for a daemon's status. */
	STATUS(6, Lane.CONTROL),

	/** A caller's request, passed on to the gate of its target. */
	FORWARD(7, Lane.FORWARD);

	private final int code;

	private final Lane lane;

	Kind(int code, Lane lane) {
		this.code = code;
		this.lane = lane;
	}

	/**
	 * Returns the number that stands for the kind on the wire.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the connections that calls of this kind use.
	 * @return the lane
	 */
	public Lane lane() {
		return this.lane;
	}

	/**
	 * Finds a kind.
	 * @param code the number on the wire
	 * @return the kind, or empty if this version doesn't know it
	 */
	public static Optional<Kind> find(int code) {
		return Arrays.stream(values()).filter((kind) -> kind.code == code).findFirst();
	}

	/**
	 * Groups of connections. Forwarded requests can wait long for their target, so they
	 * have connections of their own and never delay a heartbeat.
	 */
	public enum Lane {

		/** Short calls that leases depend on. */
		CONTROL,

		/** Forwarded requests. */
		FORWARD

	}

}
