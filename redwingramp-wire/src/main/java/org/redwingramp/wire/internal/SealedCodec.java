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
 * Encodes a value of a sealed interface as a map with one field, named after the record's
 * class. The codec of a record is made when it is first needed, which keeps the start of
 * a process short. Thread safe.
 */
final class SealedCodec implements ValueCodec {

	private final List<Class<?>> records;

	private final Map<String, ValueCodec> byName = new ConcurrentHashMap<>();

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
			throw new IOException("the name of the record's class is missing");
		}
		parser.nextToken();
		Object value = codec(name).read(parser);
		parser.nextToken();
		ValueCodec.expect(parser, JsonToken.END_OBJECT);
		return value;
	}

	@Override
	public Optional<Object> whenMissing() {
		return Optional.empty();
	}

	private ValueCodec codec(String name) throws IOException {
		ValueCodec known = this.byName.get(name);
		if (known == null) {
			Class<?> type = this.records.stream()
				.filter((candidate) -> candidate.getSimpleName().equals(name))
				.findFirst()
				.orElseThrow(() -> new IOException("the class " + name + " is unknown"));
			known = ValueCodecs.of(type);
			this.byName.put(name, known);
		}
		return known;
	}

	private static Stream<Class<?>> records(Class<?> type) {
		return type.isSealed() ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SealedCodec::records)
				: Stream.of(type);
	}

}
