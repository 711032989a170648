package org.redwingramp.daemon.internal.route;

import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;

/**
 * A request together with the properties derived from its headers and its service record.
 * Immutable and thread safe.
 *
 * @param inbound the request
 * @param service the service
 * @param requestClass the request's class
 * @param key the request's key, empty for services without keys
 * @param identity the request's identity
 * @param identityGiven whether the caller gave the identity as {@code Idempotency-Key}
 * @param issuedMillis the time of first issue in milliseconds since the epoch
 * @param deadlineNanos the monotonic time in nanoseconds by which the answer is due
 */
record RoutedRequest(InboundRequest inbound, RecordBody.Service service, RequestClass requestClass, String key,
		String identity, boolean identityGiven, long issuedMillis, long deadlineNanos) {
}
