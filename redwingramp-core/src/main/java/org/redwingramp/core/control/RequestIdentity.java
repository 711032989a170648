package org.redwingramp.core.control;

/**
 * Identifies an at-most-once request. Two requests with the same service and key are the
 * same request. Immutable and thread safe.
 *
 * @param service the service's name
 * @param key the idempotency key
 * @param issuedMillis the time at which the caller first issued the request, in
 * milliseconds since the Unix epoch
 */
public record RequestIdentity(String service, String key, long issuedMillis) {
}
