package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes a value of a sealed interface as a map with one field, which is named after the
 * record's class. The codec of a record is created on first use, to shorten the start of
 * a process. Thread safe.
 */
final class SealedCodec implements ValueCodec {

	private final List<Class<?>> records;

	private final Map<String, ValueCodec> codecsByName = new ConcurrentHashMap<>();

	SealedCodec(Class<?> type) {
		this.records = records(type).toList();
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		String name = value.getClass().getSimpleName();
		generator.writeStartObject();
		generator.writeFieldName(name);
		codec(name).write(generator, value);
		generator.writeEndObject();
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		ValueCodec.expect(parser, JsonToken.START_OBJECT);
		String name = parser.nextFieldName();
		if (name == null) {
			throw new IOException("the simple name of a record's class is missing");
		}
		parser.nextToken();
		Object value = codec(name).read(parser);
		parser.nextToken();
		ValueCodec.expect(parser, JsonToken.END_OBJECT);
		return value;
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.empty();
	}

	private ValueCodec codec(String name) throws IOException {
		ValueCodec codec = this.codecsByName.get(name);
		if (codec == null) {
			Class<?> type = this.records.stream()
				.filter((candidate) -> candidate.getSimpleName().equals(name))
				.findFirst()
				.orElseThrow(() -> new IOException("unknown record class " + name));
			codec = ValueCodecs.of(type);
			this.codecsByName.put(name, codec);
		}
		return codec;
	}

	private static Stream<Class<?>> records(Class<?> type) {
		return type.isSealed() ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SealedCodec::records)
				: Stream.of(type);
	}

}
