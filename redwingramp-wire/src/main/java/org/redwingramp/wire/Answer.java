package org.redwingramp.wire;

/**
 * The answer to a call. Immutable by convention; thread safe.
 *
 * @param sender the daemon that answered
 * @param payload the encoded answer
 */
public record Answer(Peer sender, byte[] payload) {
}
