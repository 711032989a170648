package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes and decodes the values of one type. Implementations are immutable and thread
 * safe.
 */
interface ValueCodec {

	/**
	 * Writes a value.
	 * @param generator the generator to write to
	 * @param value the value, never null
	 * @throws IOException if the value can't be written
	 */
	void write(JsonGenerator generator, Object value) throws IOException;

	/**
	 * Reads a value.
	 * @param parser the parser, positioned at the first token of the value; afterwards at
	 * its last token
	 * @return the value
	 * @throws IOException if the tokens are not a value of the type
	 */
	Object read(JsonParser parser) throws IOException;

	/**
	 * Returns the default for a missing or null value.
	 * @return the default value, or empty if the value is required
	 */
	Optional<Object> defaultValue();

	/**
	 * Reads a value and replaces null by the default value.
	 * @param parser the parser, positioned at the first token of the value; afterwards at
	 * its last token
	 * @param name the component's name, for the error message
	 * @return the value, never null
	 * @throws IOException if the tokens are not a value of the type
	 */
	default Object readOrDefault(JsonParser parser, String name) throws IOException {
		return (parser.currentToken() == JsonToken.VALUE_NULL) ? required(name) : read(parser);
	}

	/**
	 * Returns the default for a missing value or fails if the value is required.
	 * @param name the component's name, for the error message
	 * @return the default value
	 * @throws IOException if the value is required and thus has no default
	 */
	default Object required(String name) throws IOException {
		return defaultValue().orElseThrow(() -> new IOException("required component " + name + " is missing"));
	}

	/**
	 * Checks the type of the current token.
	 * @param parser the parser
	 * @param expected the expected token
	 * @throws IOException if the current token is another one
	 */
	static void expect(JsonParser parser, JsonToken expected) throws IOException {
		if (parser.currentToken() != expected) {
			throw new IOException("unexpected " + parser.currentToken() + ", expected " + expected + " at byte "
					+ parser.currentLocation().getByteOffset());
		}
	}

}
