package org.redwingramp.daemon.internal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Helper methods to read HTTP requests and write HTTP responses. Stateless and thread
 * safe.
 */
final class HttpMessages {

	private static final String BEARER = "Bearer ";

	private HttpMessages() {
	}

	static void json(Response response, Callback callback, int status, JsonNode body) {
		write(response, callback, status, "application/json", body.toString().getBytes(StandardCharsets.UTF_8));
	}

	static void problem(Response response, Callback callback, int status, JsonNode body) {
		write(response, callback, status, ProblemBody.MEDIA_TYPE, body.toString().getBytes(StandardCharsets.UTF_8));
	}

	static void write(Response response, Callback callback, int status, String mediaType, byte[] body) {
		response.setStatus(status);
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, mediaType);
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		response.write(true, ByteBuffer.wrap(body), callback);
	}

	static Optional<String> bearerToken(Request request) {
		return Optional.ofNullable(request.getHeaders().get(HttpHeader.AUTHORIZATION))
			.filter((value) -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
			.map((value) -> value.substring(BEARER.length()).trim());
	}

}
