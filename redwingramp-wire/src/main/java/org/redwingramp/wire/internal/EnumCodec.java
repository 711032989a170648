package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes an enum constant as its name. Immutable and thread safe.
 */
final class EnumCodec implements ValueCodec {

	private final Map<String, Enum<?>> constants;

	EnumCodec(Class<?> type) {
		this.constants = Arrays.stream(type.getEnumConstants())
			.map((constant) -> (Enum<?>) constant)
			.collect(Collectors.toUnmodifiableMap(Enum::name, Function.identity()));
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		generator.writeString(((Enum<?>) value).name());
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		ValueCodec.expect(parser, JsonToken.VALUE_STRING);
		Enum<?> constant = this.constants.get(parser.getText());
		if (constant == null) {
			throw new IOException("unknown enum constant " + parser.getText());
		}
		return constant;
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.empty();
	}

}
