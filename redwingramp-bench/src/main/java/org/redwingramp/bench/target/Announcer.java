package org.redwingramp.bench.target;

import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Announces a stand-in target to the entry instances, taking the next one when one
 * doesn't answer. Not thread safe; one thread owns it.
 */
final class Announcer {

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final int OK = 200;

	private final HttpClient client;

	private final TargetOptions options;

	private final String address;

	private final String bootId;

	private int next;

	Announcer(HttpClient client, TargetOptions options, String address, String bootId) {
		this.client = client;
		this.options = options;
		this.address = address;
		this.bootId = bootId;
	}

	// Announces the target or repeats it. Returns whether an entry instance accepted it.
	boolean announce() {
		ObjectNode body = new ObjectMapper().createObjectNode();
		body.put("service", this.options.service());
		body.put("address", this.address);
		body.put("failureDomain", this.options.failureDomain());
		body.put("slots", this.options.slots());
		body.put("connections", this.options.connections());
		body.put("bootId", this.bootId);
		body.put("checksFences", this.options.checksFences());
		return send(HttpMethod.PUT, "", body.toString());
	}

	// Asks to be drained. Returns whether an entry instance accepted it.
	boolean drain() {
		return send(HttpMethod.POST, "/drain?bootId=" + this.bootId, "");
	}

	// Leaves. Returns whether the target may stop.
	boolean leave() {
		return send(HttpMethod.DELETE, "?bootId=" + this.bootId, "");
	}

	private boolean send(HttpMethod method, String suffix, String body) {
		List<String> entries = this.options.entries();
		for (int i = 0; i < entries.size(); i++) {
			String entry = entries.get(this.next % entries.size());
			if (sendTo(entry, method, suffix, body)) {
				return true;
			}
			this.next++;
		}
		return false;
	}

	private boolean sendTo(String entry, HttpMethod method, String suffix, String body) {
		String uri = "http://" + entry + "/.redwingramp/v1/targets/" + this.options.name() + suffix;
		try {
			Request request = this.client.newRequest(uri)
				.method(method)
				.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
				.headers((headers) -> headers.put("Authorization", "Bearer " + this.options.token()));
			if (!body.isEmpty()) {
				request.body(new StringRequestContent("application/json", body));
			}
			ContentResponse response = request.send();
			return response.getStatus() == OK;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (Exception ex) {
			return false;
		}
	}

}
