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
 * Values of one type as CBOR. Thread safe.
 */
public final class CborFormat {

	/** The deepest nesting that is decoded; the records of the core nest to about 8. */
	static final int MAX_NESTING = 32;

	/** The longest field name; names are those of record components and map keys. */
	static final int MAX_NAME_LENGTH = 4096;

	private static final CBORFactory FACTORY = CBORFactory.builder()
		.streamReadConstraints(
				StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).maxNameLength(MAX_NAME_LENGTH).build())
		// Map keys come from callers and would fill the table of interned strings.
		.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
		.build();

	private final ValueCodec codec;

	private CborFormat(ValueCodec codec) {
		this.codec = codec;
	}

	/**
	 * Creates the format of a type.
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
	 * @throws IOException if a component can't be encoded
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
			JsonToken more = parser.nextToken();
			if (more != null) {
				throw new IOException("found " + more + " after the value");
			}
			return value;
		}
	}

}
