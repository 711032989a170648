/**
 * An entry instance of a fleet: accepts HTTP requests from callers, routes each one
 * directly to a target, retries it within limits, or refuses it.
 */
package org.redwingramp.node.entry;
