package org.redwingramp.node.api;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The fields of a caller's request that the router needs. Immutable and thread safe.
 *
 * @param id the identifier of the caller's attempt, if it states one
 * @param deadlineMillis how long the caller waits for the response, counted from when it
 * sent the request
 * @param key the key of the request, for a sharded service
 * @param host the host that the request is addressed to
 */
public record RequestFields(Optional<String> id, OptionalLong deadlineMillis, OptionalInt key, String host) {
}
