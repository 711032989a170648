package org.redwingramp.daemon.internal.gate;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

import org.redwingramp.core.control.Grant;
import org.redwingramp.core.control.GrantReply;

/**
 * Sends grants over HTTP. If no reply arrives within the timeout, the connection is
 * closed and the next grant uses a new one, so that a connection which no longer delivers
 * data is not used again. Thread safe.
 */
final class JettyGrantSender implements GrantSender {

	private static final int MAX_REPLY_BYTES = 4 * 1024;

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	private final HttpClient client;

	private final long timeoutNanos;

	private final ObjectMapper json = new ObjectMapper();

	JettyGrantSender(HttpClient client, long timeoutNanos) {
		this.client = client;
		this.timeoutNanos = timeoutNanos;
	}

	@Override
	public CompletableFuture<GrantReply> send(String address, Grant grant) {
		CompletableFuture<GrantReply> reply = new CompletableFuture<>();
		this.client.newRequest("http://" + address + "/.redwingramp/grant")
			.method(HttpMethod.PUT)
			.timeout(this.timeoutNanos, TimeUnit.NANOSECONDS)
			.body(new StringRequestContent("application/json", body(grant).toString()))
			.send(new BufferingResponseListener(MAX_REPLY_BYTES) {

				@Override
				public void onComplete(Result result) {
					complete(result, getContentAsString(), reply);
				}

			});
		return reply;
	}

	private ObjectNode body(Grant grant) {
		ObjectNode body = this.json.createObjectNode();
		body.put("gate", grant.gate());
		body.put("epoch", grant.epoch());
		body.put("number", grant.number());
		body.put("bootId", grant.bootId());
		body.put("leaseUntil", grant.leaseUntilMillis());
		ArrayNode shards = body.putArray("shards");
		grant.shards()
			.forEach((shard) -> shards.addObject().put("shard", shard.shard().toString()).put("fence", shard.fence()));
		return body;
	}

	private void complete(Result result, String content, CompletableFuture<GrantReply> reply) {
		int status = (result.getResponse() != null) ? result.getResponse().getStatus() : 0;
		if (result.isFailed() || (status != OK && status != CONFLICT)) {
			reply.completeExceptionally(new IOException(
					"grant not acknowledged: HTTP status " + status + " (0 if no response)", result.getFailure()));
			return;
		}
		try {
			JsonNode node = this.json.readTree(content);
			reply.complete(new GrantReply(node.path("clock").asLong(), node.path("bootId").asText(),
					node.path("epoch").asLong(), node.path("inFlight").asInt(), node.path("number").asLong()));
		}
		catch (IOException ex) {
			reply.completeExceptionally(ex);
		}
	}

}
