package org.redwingramp.wire;

/**
 * The reply to a call. Thread safe; {@code payload} is not copied and must not be
 * changed.
 *
 * @param sender the daemon that replied
 * @param payload the encoded reply
 */
public record Answer(Peer sender, byte[] payload) {
}
