package org.redwingramp.node.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a caller says about its request. Immutable and thread safe.
 *
 * @param id the identifier of this attempt, if there is one
 * @param deadlineMillis how long the caller waits, from the sending of the request
 * @param key the key for a service that is sharded
 * @param host the host that the request names
 */
public record RequestFields(Optional<String> id, OptionalLong deadlineMillis, OptionalInt key, String host) {
}
