package org.redwingramp.node.api;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The fields of a target's response that the router needs. Immutable and thread safe.
 *
 * @param requestId the identifier of the request that it responds to, if the target
 * states it
 * @param signed whether it has the signature field of a target
 * @param notRun whether the target states that the request didn't run
 * @param encoded whether the body has a content encoding, which targets don't apply
 * themselves
 * @param load the load that the target reports, if any
 * @param coldLeftMillis the remaining time in which the target is cold, if it reports one
 * @param limitPerSecond the requests per second that the target accepts from all entry
 * instances together, if it states a limit
 * @param leaving whether the target states that it leaves
 * @param retryAfterMillis the time after which the target wants the next request, if it
 * states one
 */
public record ResponseFields(Optional<String> requestId, boolean signed, boolean notRun, boolean encoded,
		Optional<TargetLoad> load, OptionalLong coldLeftMillis, OptionalDouble limitPerSecond, boolean leaving,
		OptionalLong retryAfterMillis) {
}
