package org.redwingramp.daemon.internal.gate;

import java.util.List;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * A routed request that is passed to the gate of its target, within the process or from
 * another entry instance. Immutable by convention: the body array must not be modified.
 * Thread safe.
 *
 * @param service the service's name
 * @param method the HTTP method
 * @param path the path with query, as it is sent to the target
 * @param headers the forwarded headers
 * @param body the body
 * @param requestClass the request class, which determines whether the request may be
 * repeated
 * @param identity the request's identity, the same for all sends of a request
 * @param issuedMillis when the request was first issued, in milliseconds since the Unix
 * epoch
 * @param target the target's name
 * @param gateEpoch the gate epoch of the target in the view by which the request was
 * routed
 * @param key the request's key, empty for services without keys
 * @param shard the request's shard, with an empty service for services without keys
 * @param fence the shard's fencing token, which rises with each owner, in the view by
 * which the request was routed
 * @param remainingMillis the time until the deadline in milliseconds
 */
public record GateRequest(String service, String method, String path, List<HeaderField> headers, byte[] body,
		RequestClass requestClass, String identity, long issuedMillis, String target, long gateEpoch, String key,
		ShardId shard, long fence, long remainingMillis) {

	/** Placeholder for the shard in requests of services without keys. */
	public static final ShardId NO_SHARD = new ShardId("", 0, "");

	public GateRequest {
		headers = List.copyOf(headers);
	}

}
