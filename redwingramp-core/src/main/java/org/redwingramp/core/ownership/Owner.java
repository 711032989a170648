package org.redwingramp.core.ownership;

/**
 * One life of a target. A target that starts again under its name is another owner.
 * Immutable and thread safe.
 *
 * @param target the target's name
 * @param born the wall clock of its start in milliseconds
 */
public record Owner(String target, long born) {
}
