package org.redwingramp.core.control;

/**
 * Identifies a request that runs at most once. Two requests with the same service and key
 * are the same request. Immutable and thread safe.
 *
 * @param service the service's name
 * @param key the idempotency key
 * @param issuedMillis when the caller first issued the request, in milliseconds of the
 * epoch
 */
public record RequestIdentity(String service, String key, long issuedMillis) {
}
