package org.redwingramp.core.consensus;

/**
 * A message to send to another replica. Immutable and thread safe.
 *
 * @param receiver the receiving replica
 * @param message the message
 */
public record Outbound(ReplicaId receiver, PeerMessage message) {
}
