package org.redwingramp.daemon.internal.route;

import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;

/**
 * A request with what its service record says about it. Immutable and thread safe.
 *
 * @param inbound the request
 * @param service the service
 * @param requestClass the request's class
 * @param key the request's key, empty for services without keys
 * @param identity the request's identity
 * @param identityGiven whether the caller gave the identity
 * @param issuedMillis when it was first issued, in milliseconds of the epoch
 * @param deadline the monotonic time in nanoseconds by which the answer must be there
 */
record RoutedRequest(InboundRequest inbound, RecordBody.Service service, RequestClass requestClass, String key,
		String identity, boolean identityGiven, long issuedMillis, long deadline) {
}
