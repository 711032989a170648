package org.redwingramp.daemon.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Thrown when an operator's request is refused; carries the content of the problem body.
 * Not thread safe.
 */
final class OperatorException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String code;

	private final transient ArrayNode findings = JsonNodeFactory.instance.arrayNode();

	private final transient ObjectNode extensions = JsonNodeFactory.instance.objectNode();

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

	// Returns the mutable list of validation findings in the problem body.
	ArrayNode findings() {
		return this.findings;
	}

	// Returns the mutable object of additional members of the problem body.
	ObjectNode extensions() {
		return this.extensions;
	}

}
