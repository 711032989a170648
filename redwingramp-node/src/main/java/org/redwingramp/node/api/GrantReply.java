package org.redwingramp.node.api;

import java.util.Optional;

import org.redwingramp.core.ownership.GrantOutcome;

/**
 * The reply of a target to a {@link GrantCall}. Immutable and thread safe.
 *
 * @param outcome the outcome; a release without a reply has an unknown outcome
 * @param handover the handover token for the next owner, if the target provides one
 */
public record GrantReply(GrantOutcome outcome, Optional<String> handover) {

	/** The call wasn't sent. */
	public static final GrantReply NOT_SENT = new GrantReply(GrantOutcome.NOT_SENT, Optional.empty());

	/** The call got no reply, so its outcome is unknown. */
	public static final GrantReply UNKNOWN = new GrantReply(GrantOutcome.UNKNOWN, Optional.empty());

}
