package org.redwingramp.node.api;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a target says with its response. Immutable and thread safe.
 *
 * @param requestId the request that it answers, if it says so
 * @param signed whether it carries the target's signature
 * @param notRun whether the target states that the request didn't run
 * @param encoded whether the body is encoded, so that it isn't the target's own
 * @param load the target's load, if it tells
 * @param coldLeftMillis how much longer the target is cold, if it tells
 */
public record ResponseFields(Optional<String> requestId, boolean signed, boolean notRun, boolean encoded,
		Optional<TargetLoad> load, OptionalLong coldLeftMillis) {
}
