package org.redwingramp.wire.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;

/**
 * Encodes and decodes the values of one type as CBOR. Thread safe.
 */
public final class CborFormat {

	/** The maximum nesting depth; the records of the core module nest to about 8. */
	static final int MAX_NESTING = 32;

	/**
	 * The maximum length of a field name, which is a component name or a map key.
	 */
	static final int MAX_NAME_LENGTH = 4096;

	private static final CBORFactory FACTORY = CBORFactory.builder()
		.streamReadConstraints(
				StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).maxNameLength(MAX_NAME_LENGTH).build())
		// Map keys come from callers and would fill up the JVM's string table.
		.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
		.build();

	private final ValueCodec codec;

	private CborFormat(ValueCodec codec) {
		this.codec = codec;
	}

	/**
	 * Creates the format for a type.
	 * @param type a record or sealed interface
	 * @return the format
	 */
	public static CborFormat of(Class<?> type) {
		return new CborFormat(ValueCodecs.of(type));
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return the encoded value
	 * @throws IOException if a component can't be read or encoded
	 */
	public byte[] encode(Object value) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
			this.codec.write(generator, value);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a value.
	 * @param data the encoded value
	 * @return the value
	 * @throws IOException if the data are not exactly one value of the type
	 */
	public Object decode(byte[] data) throws IOException {
		try (JsonParser parser = FACTORY.createParser(data)) {
			parser.nextToken();
			Object value = this.codec.read(parser);
			JsonToken next = parser.nextToken();
			if (next != null) {
				throw new IOException(
						"unexpected " + next + " after the value at byte " + parser.currentLocation().getByteOffset());
			}
			return value;
		}
	}

}
