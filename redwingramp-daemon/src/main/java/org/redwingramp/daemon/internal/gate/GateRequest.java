package org.redwingramp.daemon.internal.gate;

import java.util.List;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * A routed request on its way to the gate of its target, within the process or from
 * another instance. Immutable by convention. Thread safe.
 *
 * @param service the service's name
 * @param method the HTTP method
 * @param path the path with query, as the target gets it
 * @param headers the headers that are passed on
 * @param body the body
 * @param requestClass the request's class
 * @param identity the request's identity
 * @param issuedMillis when it was first issued, in milliseconds of the epoch
 * @param target the target's name
 * @param gateEpoch the target's gate epoch in the sender's view
 * @param key the request's key, empty for services without keys
 * @param shard the request's shard, with an empty service for services without keys
 * @param fence the shard's fence in the sender's view
 * @param remainingMillis the time until the deadline in milliseconds
 */
public record GateRequest(String service, String method, String path, List<HeaderField> headers, byte[] body,
		RequestClass requestClass, String identity, long issuedMillis, String target, long gateEpoch, String key,
		ShardId shard, long fence, long remainingMillis) {

	/** The shard of requests of services without keys. */
	public static final ShardId NO_SHARD = new ShardId("", 0, "");

	public GateRequest {
		headers = List.copyOf(headers);
	}

}
