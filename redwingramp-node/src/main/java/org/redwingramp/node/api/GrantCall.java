package org.redwingramp.node.api;

import java.util.Optional;

/**
 * A call that grants a range of keys to a target or releases it. Immutable and thread
 * safe.
 *
 * @param target the name of the target that the call is for, by which a target detects
 * misdirected calls
 * @param release whether the keys are released rather than granted
 * @param first the first key of the range
 * @param last the last key of the range, inclusive
 * @param fence the fencing token, which rises with each owner of the range
 * @param holdMillis the duration of the grant
 * @param handover the handover token of the previous owner, if there is one
 */
public record GrantCall(String target, boolean release, int first, int last, long fence, long holdMillis,
		Optional<String> handover) {

	/**
	 * Returns the kind of the call for log lines and metrics.
	 * @return {@code grant} or {@code release}
	 */
	public String kind() {
		return this.release ? "release" : "grant";
	}

	/**
	 * Returns the range of keys for log lines.
	 * @return the first and the last key
	 */
	public String keys() {
		return this.first + "-" + this.last;
	}

}
