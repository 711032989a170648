package org.redwingramp.daemon.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An operator's request is refused. Not shared between threads.
 */
final class OperatorException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String code;

	private final transient ArrayNode findings = JsonNodeFactory.instance.arrayNode();

	private final transient ObjectNode extra = JsonNodeFactory.instance.objectNode();

	OperatorException(int status, String code, String message) {
		super(message, null, false, false);
		this.status = status;
		this.code = code;
	}

	int status() {
		return this.status;
	}

	String code() {
		return this.code;
	}

	// Returns the findings, to which more may be added.
	ArrayNode findings() {
		return this.findings;
	}

	// Returns further members of the problem, to which more may be added.
	ObjectNode extra() {
		return this.extra;
	}

}
