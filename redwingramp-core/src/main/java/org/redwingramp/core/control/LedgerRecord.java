package org.redwingramp.core.control;

import java.util.Optional;

/**
 * The ledger record of an at-most-once request. Immutable and thread safe.
 *
 * @param request the request's identity
 * @param digest the SHA-256 of method, path and body in hexadecimal
 * @param attempt the log index of the {@link Command.BeginRequest} that started the
 * attempt
 * @param gate the name of the entry instance that sends the request
 * @param gateEpoch the gate epoch of the target
 * @param target the name of the target that the request is sent to
 * @param unknownAtMillis the time, by the clock of the replicated state in milliseconds,
 * from which a request without a response counts as unknown
 * @param unknown whether the request was marked as unknown
 * @param answer the response, present once the request is done
 * @param token the token of the {@link Command.BeginRequest}, empty once the request has
 * ended
 */
public record LedgerRecord(RequestIdentity request, String digest, long attempt, String gate, long gateEpoch,
		String target, long unknownAtMillis, boolean unknown, Optional<StoredAnswer> answer, String token) {
}
