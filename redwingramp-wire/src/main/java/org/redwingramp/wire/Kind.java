package org.redwingramp.wire;

import java.util.Arrays;
import java.util.Optional;

/**
 * The type of a message between daemons, which determines how its payload is decoded. The
 * codes are part of the protocol and must not change. Immutable and thread safe.
 */
public enum Kind {

	/**
	 * Authenticates a new connection and checks that an open one still works; no payload.
	 */
	PING(0, ConnectionGroup.CONTROL),

	/** A consensus message, one-way. */
	CONSENSUS(1, ConnectionGroup.CONTROL),

	/** Asks a control replica for its identity and whether its state is empty. */
	IDENTITY(2, ConnectionGroup.CONTROL),

	/** A heartbeat from an entry instance to the leader. */
	HEARTBEAT(3, ConnectionGroup.CONTROL),

	/** A command to be appended to the replicated log. */
	PROPOSE(4, ConnectionGroup.CONTROL),

	/** An operator's read or change of records, forwarded to the leader. */
	RECORDS(5, ConnectionGroup.CONTROL),

	/** Asks for a daemon's status. */
	STATUS(6, ConnectionGroup.CONTROL),

	/** A caller's request, forwarded to the gate of its target. */
	FORWARD(7, ConnectionGroup.FORWARD);

	private final int code;

	private final ConnectionGroup connectionGroup;

	Kind(int code, ConnectionGroup connectionGroup) {
		this.code = code;
		this.connectionGroup = connectionGroup;
	}

	/**
	 * Returns the number that identifies the kind on the wire.
	 * @return the code
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns the group of connections that calls of this kind use.
	 * @return the connection group
	 */
	public ConnectionGroup connectionGroup() {
		return this.connectionGroup;
	}

	/**
	 * Finds the kind with a code.
	 * @param code the number on the wire
	 * @return the kind, or empty if this version does not know the code
	 */
	public static Optional<Kind> find(int code) {
		return Arrays.stream(values()).filter((kind) -> kind.code == code).findFirst();
	}

	/**
	 * Groups of connections to a peer. Forwarded requests may wait a long time for their
	 * target, so they use separate connections and never delay a heartbeat.
	 */
	public enum ConnectionGroup {

		/** Connections for short calls, which leases depend on. */
		CONTROL,

		/** Connections for forwarded requests. */
		FORWARD

	}

}
