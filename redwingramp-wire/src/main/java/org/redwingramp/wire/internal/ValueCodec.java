package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Writes and reads the values of one type. Implementations are immutable and thread safe.
 */
interface ValueCodec {

	/**
	 * Writes a value.
	 * @param generator where it is written
	 * @param value the value, never null
	 * @throws IOException if the value can't be written
	 */
	void write(JsonGenerator generator, Object value) throws IOException;

	/**
	 * Reads a value.
	 * @param parser stands at the first token of the value and is left at its last one
	 * @return the value
	 * @throws IOException if the tokens are no value of the type
	 */
	Object read(JsonParser parser) throws IOException;

	/**
	 * Returns what stands for a missing or null value.
	 * @return the value, or empty if the value is required
	 */
	Optional<Object> whenMissing();

	/**
	 * Reads a value that may be null.
	 * @param parser stands at the first token of the value and is left at its last one
	 * @param name the component's name, for the error
	 * @return the value, never null
	 * @throws IOException if the tokens are no value of the type
	 */
	default Object readOrMissing(JsonParser parser, String name) throws IOException {
		return (parser.currentToken() == JsonToken.VALUE_NULL) ? required(name) : read(parser);
	}

	/**
	 * Returns what stands for a missing value.
	 * @param name the component's name, for the error
	 * @return the value
	 * @throws IOException if the value is required
	 */
	default Object required(String name) throws IOException {
		return whenMissing().orElseThrow(() -> new IOException("component " + name + " is missing"));
	}

	/**
	 * Checks the current token.
	 * @param parser the parser
	 * @param expected the token that has to come
	 * @throws IOException if another token came
	 */
	static void expect(JsonParser parser, JsonToken expected) throws IOException {
		if (parser.currentToken() != expected) {
			throw new IOException("found " + parser.currentToken() + " instead of " + expected + " at byte "
					+ parser.currentLocation().getByteOffset());
		}
	}

}
