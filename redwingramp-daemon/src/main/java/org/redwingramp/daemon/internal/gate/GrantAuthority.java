package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;

/**
 * Decides what is granted to the targets of this instance's gates. Implementations are
 * thread safe and don't block.
 */
public interface GrantAuthority {

	/**
	 * Returns the next grant of a target, which must be sent now.
	 * @param target the target's name
	 * @return the grant
	 */
	Grant nextGrant(String target);

	/**
	 * Handles a target's reply to a grant. Must not be called for a reply that came after
	 * the grant timeout.
	 * @param target the target's name
	 * @param gateEpoch the gate epoch of the grant
	 * @param reply the reply
	 */
	void grantReply(String target, long gateEpoch, GrantReply reply);

	/**
	 * Returns whether a target's grant lease is over and it doesn't answer.
	 * @param target the target's name
	 * @return whether it is lost
	 */
	boolean lost(String target);

	/**
	 * Returns whether the leader asked for the gate to be handed over.
	 * @param target the target's name
	 * @return whether nothing new may be sent
	 */
	boolean handOver(String target);

}
