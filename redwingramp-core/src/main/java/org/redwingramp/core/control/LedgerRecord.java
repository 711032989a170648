package org.redwingramp.core.control;

import java.util.Optional;

/**
 * What the ledger holds about a request that runs at most once. Immutable and thread
 * safe.
 *
 * @param request the request's identity
 * @param digest the SHA-256 of method, path and body in hexadecimal
 * @param attempt the index of the {@link Command.BeginRequest} that started it
 * @param gate the gate that sends it
 * @param gateEpoch the gate epoch of the target
 * @param target the target that it is sent to
 * @param unknownAtMillis the state's clock in milliseconds from which a request without
 * an answer counts as unknown
 * @param unknown whether it was marked as unknown
 * @param answer the answer, if the request is done
 * @param token the token of the {@link Command.BeginRequest}, empty once the request
 * ended
 */
public record LedgerRecord(RequestIdentity request, String digest, long attempt, String gate, long gateEpoch,
		String target, long unknownAtMillis, boolean unknown, Optional<StoredAnswer> answer, String token) {
}
