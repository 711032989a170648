package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * The codecs of scalar types: strings, numbers, booleans and byte arrays. The default
 * value is 0, {@code false} or empty. Immutable and thread safe.
 */
enum ScalarCodec implements ValueCodec {

	STRING("") {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeString((String) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			ValueCodec.expect(parser, JsonToken.VALUE_STRING);
			return parser.getText();
		}

	},

	INT(0) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeNumber((int) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			ValueCodec.expect(parser, JsonToken.VALUE_NUMBER_INT);
			return parser.getIntValue();
		}

	},

	LONG(0L) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeNumber((long) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			ValueCodec.expect(parser, JsonToken.VALUE_NUMBER_INT);
			return parser.getLongValue();
		}

	},

	FLOAT(0F) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeNumber((float) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			return (float) readDouble(parser);
		}

	},

	DOUBLE(0D) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeNumber((double) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			return readDouble(parser);
		}

	},

	BOOLEAN(false) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeBoolean((boolean) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			return parser.getBooleanValue();
		}

	},

	BYTES(new byte[0]) {

		@Override
		public void write(JsonGenerator generator, Object value) throws IOException {
			generator.writeBinary((byte[]) value);
		}

		@Override
		public Object read(JsonParser parser) throws IOException {
			ValueCodec.expect(parser, JsonToken.VALUE_EMBEDDED_OBJECT);
			return parser.getBinaryValue();
		}

	};

	private static final Map<Class<?>, ScalarCodec> BY_TYPE = Map.ofEntries(Map.entry(String.class, STRING),
			Map.entry(int.class, INT), Map.entry(Integer.class, INT), Map.entry(long.class, LONG),
			Map.entry(Long.class, LONG), Map.entry(float.class, FLOAT), Map.entry(Float.class, FLOAT),
			Map.entry(double.class, DOUBLE), Map.entry(Double.class, DOUBLE), Map.entry(boolean.class, BOOLEAN),
			Map.entry(Boolean.class, BOOLEAN), Map.entry(byte[].class, BYTES));

	private final Object defaultValue;

	ScalarCodec(Object defaultValue) {
		this.defaultValue = defaultValue;
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.of(this.defaultValue);
	}

	static Optional<ValueCodec> of(Class<?> type) {
		return Optional.ofNullable(BY_TYPE.get(type));
	}

	private static double readDouble(JsonParser parser) throws IOException {
		if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
			ValueCodec.expect(parser, JsonToken.VALUE_NUMBER_FLOAT);
		}
		return parser.getDoubleValue();
	}

}
