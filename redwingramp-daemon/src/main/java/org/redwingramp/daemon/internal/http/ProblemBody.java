package org.redwingramp.daemon.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.core.model.Outcome;

/**
 * Creates problem bodies according to RFC 9457. Stateless and thread safe.
 */
final class ProblemBody {

	/** The media type of problem bodies. */
	static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:redwingramp:problem:";

	private static final ObjectMapper JSON = new ObjectMapper();

	private ProblemBody() {
	}

	static ObjectNode create(int status, String code, String title, Outcome outcome, String detail) {
		ObjectNode body = JSON.createObjectNode();
		body.put("type", TYPE_PREFIX + code);
		body.put("title", title);
		body.put("status", status);
		body.put("code", code);
		body.put("outcome", outcome.headerValue());
		body.put("detail", detail);
		return body;
	}

}
