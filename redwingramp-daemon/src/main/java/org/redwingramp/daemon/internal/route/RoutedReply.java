package org.redwingramp.daemon.internal.route;

import org.redwingramp.daemon.internal.gate.GateReply;

/**
 * What became of a caller's request. Immutable and thread safe.
 *
 * @param identity the request's identity
 * @param reply the gate's reply
 */
public record RoutedReply(String identity, GateReply reply) {
}
