package org.redwingramp.node.api;

import java.util.Optional;

/**
 * A call to a target about keys. Immutable and thread safe.
 *
 * @param target the name of the target that is meant
 * @param release whether the keys are taken back
 * @param first the first key
 * @param last the last key, inclusive
 * @param fence the fencing token
 * @param holdMillis how long the grant holds
 * @param handover the token of the former holder
 */
public record GrantCall(String target, boolean release, int first, int last, long fence, long holdMillis,
		Optional<String> handover) {
}
