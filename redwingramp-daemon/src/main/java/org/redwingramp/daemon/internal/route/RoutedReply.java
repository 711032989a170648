package org.redwingramp.daemon.internal.route;

import org.redwingramp.daemon.internal.gate.GateReply;

/**
 * The result of routing a caller's request. Immutable and thread safe.
 *
 * @param identity the request's identity, given by the caller or generated
 * @param reply the gate's reply
 */
public record RoutedReply(String identity, GateReply reply) {
}
