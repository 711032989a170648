package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;

/**
 * Builds the grants for the targets whose gate is this instance and processes their
 * replies. Implementations are thread safe and non-blocking.
 */
public interface GrantAuthority {

	/**
	 * Returns the next grant to a target, which must be sent without delay.
	 * @param target the target's name
	 * @return the grant
	 */
	Grant nextGrant(String target);

	/**
	 * Processes a target's reply to a grant. Must not be called for a reply that arrived
	 * after the grant timeout.
	 * @param target the target's name
	 * @param gateEpoch the gate epoch under which the grant was sent
	 * @param reply the reply
	 */
	void handleGrantReply(String target, long gateEpoch, GrantReply reply);

	/**
	 * Returns whether a target is lost: its grant lease has expired and it did not reply
	 * to grants.
	 * @param target the target's name
	 * @return whether the target is lost
	 */
	boolean lost(String target);

	/**
	 * Returns whether the control leader requested the handover of a target's gate. Once
	 * requested, no new request may be sent to the target.
	 * @param target the target's name
	 * @return whether a handover was requested
	 */
	boolean handoverRequested(String target);

}
