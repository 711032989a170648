package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes a map with string keys, sorted by key so that equal maps have equal encodings.
 * Immutable and thread safe.
 */
final class MapCodec implements ValueCodec {

	private final ValueCodec valueCodec;

	MapCodec(ValueCodec valueCodec) {
		this.valueCodec = valueCodec;
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		generator.writeStartObject(value);
		for (Map.Entry<?, ?> entry : new TreeMap<>((Map<?, ?>) value).entrySet()) {
			generator.writeFieldName((String) entry.getKey());
			this.valueCodec.write(generator, entry.getValue());
		}
		generator.writeEndObject();
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		ValueCodec.expect(parser, JsonToken.START_OBJECT);
		Map<String, Object> entries = new LinkedHashMap<>();
		for (String key = parser.nextFieldName(); key != null; key = parser.nextFieldName()) {
			parser.nextToken();
			entries.put(key, this.valueCodec.readOrDefault(parser, key));
		}
		ValueCodec.expect(parser, JsonToken.END_OBJECT);
		return entries;
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.of(Map.of());
	}

}
