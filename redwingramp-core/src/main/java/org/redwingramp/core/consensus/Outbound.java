package org.redwingramp.core.consensus;

/**
 * A message to send. Immutable and thread safe.
 *
 * @param receiver the receiving replica
 * @param message the message
 */
public record Outbound(ReplicaId receiver, PeerMessage message) {
}
