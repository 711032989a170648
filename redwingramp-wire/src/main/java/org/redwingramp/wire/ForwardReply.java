package org.redwingramp.wire;

import java.util.List;

import org.redwingramp.core.model.Outcome;

/**
 * A gate's answer to a {@link ForwardRequest}. Immutable by convention; thread safe.
 *
 * @param outcome what the caller may conclude
 * @param status the HTTP status
 * @param headers the header fields of the target's answer, in order
 * @param body the body of the target's answer, at most 4 MiB
 * @param problemCode the code of the refusal, empty for an answer of the target
 * @param detail the text of the refusal, empty for an answer of the target
 * @param busy whether the request was refused for lack of capacity
 * @param inFlight the number of requests at the gate's target, for the choice among
 * targets
 * @param viewVersion the version of the gate's view
 * @param queuedNanos how long the request waited at the gate
 * @param serviceNanos how long the target took
 */
public record ForwardReply(Outcome outcome, int status, List<Header> headers, byte[] body, String problemCode,
		String detail, boolean busy, int inFlight, long viewVersion, long queuedNanos, long serviceNanos) {

	/** The codec of replies. */
	public static final RecordCodec<ForwardReply> CODEC = RecordCodec.of(ForwardReply.class);

	public ForwardReply {
		headers = List.copyOf(headers);
	}

}
