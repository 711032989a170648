package org.redwingramp.node.api;

import java.util.Optional;

import org.redwingramp.core.ownership.GrantOutcome;

/**
 * The answer to a call about keys. Immutable and thread safe.
 *
 * @param outcome the outcome; for a release everything but an answer is unknown
 * @param handover the token for the next owner
 */
public record GrantReply(GrantOutcome outcome, Optional<String> handover) {

	/** Nothing was sent. */
	public static final GrantReply NOT_SENT = new GrantReply(GrantOutcome.NOT_SENT, Optional.empty());

	/** No answer. */
	public static final GrantReply UNKNOWN = new GrantReply(GrantOutcome.UNKNOWN, Optional.empty());

}
