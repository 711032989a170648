package org.redwingramp.daemon.internal.gate;

import java.util.List;
import java.util.function.BooleanSupplier;

import org.redwingramp.core.model.ShardId;
import org.redwingramp.daemon.internal.http.HeaderField;

/**
 * A request to be sent to a target. Immutable by convention: the body array must not be
 * modified. Thread safe.
 *
 * @param target the target's name
 * @param address the target's address as {@code ip:port}
 * @param method the HTTP method
 * @param path the path with query
 * @param headers the forwarded headers of the caller's request
 * @param body the body
 * @param requestId the request's identity, which the target echoes
 * @param shard the request's shard, {@code null} for services without keys
 * @param fence the shard's fencing token, which rises with each owner
 * @param gateEpoch the target's gate epoch
 * @param deadline the monotonic time in nanoseconds by which the response must be
 * complete
 * @param mayWrite checked immediately before the first byte is written; if it returns
 * {@code false}, nothing is written
 */
record TargetCall(String target, String address, String method, String path, List<HeaderField> headers, byte[] body,
		String requestId, ShardId shard, long fence, long gateEpoch, long deadline, BooleanSupplier mayWrite) {
}
