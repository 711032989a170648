package org.redwingramp.core.ownership;

/**
 * One incarnation of a target, as the owner of keys. A target that restarts under the
 * same name is a different owner. Immutable and thread safe.
 *
 * @param target the target's name
 * @param born the wall-clock time at which this incarnation started, in milliseconds
 */
public record Owner(String target, long born) {
}
