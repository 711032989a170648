package org.redwingramp.wire;

import java.util.List;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.ShardId;

/**
 * A caller's request on its way from the entry that received it to the gate of its
 * target. Immutable by convention; thread safe.
 *
 * @param service the service's name
 * @param method the HTTP method
 * @param path the path after the service's name, with the query
 * @param headers the header fields to pass on, in order
 * @param body the body, at most 1 MiB
 * @param requestId identifies the request, also for the at-most-once ledger
 * @param issuedMillis when the request was first issued, by the epoch
 * @param requestClass how often it may run
 * @param key the key, empty for a service that is not divided by key
 * @param target the name of the target that the entry chose
 * @param shard the shard that the key belongs to; of a service that is not divided by
 * key, a shard with the service's name
 * @param fence the shard's fence in the entry's view
 * @param gateEpoch the target's gate epoch in the entry's view
 * @param viewVersion the version of the entry's view
 * @param remainingMillis the time until the deadline when it was sent
 * @param attempt the number of earlier attempts of this entry for the request
 * @param digest the digest of method, path and body that the ledger compares
 */
public record ForwardRequest(String service, String method, String path, List<Header> headers, byte[] body,
		String requestId, long issuedMillis, RequestClass requestClass, String key, String target, ShardId shard,
		long fence, long gateEpoch, long viewVersion, long remainingMillis, int attempt, String digest) {

	/** The codec of requests. */
	public static final RecordCodec<ForwardRequest> CODEC = RecordCodec.of(ForwardRequest.class);

	public ForwardRequest {
		headers = List.copyOf(headers);
	}

}
