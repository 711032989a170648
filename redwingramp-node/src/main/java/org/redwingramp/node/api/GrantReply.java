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

	/** No answer. */
	public static final GrantReply UNKNOWN = new GrantReply(GrantOutcome.UNKNOWN, Optional.empty());

}
