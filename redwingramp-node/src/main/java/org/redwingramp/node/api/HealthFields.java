package org.redwingramp.node.api;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The fields of a target's response to a health check that the router needs. Immutable
 * and thread safe.
 *
 * @param target the name of the target that responded, if it states it
 * @param coldLeftMillis the remaining time in which the target is cold, if it states one
 */
public record HealthFields(Optional<String> target, OptionalLong coldLeftMillis) {
}
