package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes a list or set as an array. Immutable and thread safe.
 */
final class CollectionCodec implements ValueCodec {

	private final ValueCodec element;

	private final Function<List<Object>, Collection<Object>> toCollection;

	private CollectionCodec(ValueCodec element, Function<List<Object>, Collection<Object>> toCollection) {
		this.element = element;
		this.toCollection = toCollection;
	}

	static CollectionCodec list(ValueCodec element) {
		return new CollectionCodec(element, (elements) -> elements);
	}

	static CollectionCodec set(ValueCodec element) {
		return new CollectionCodec(element, LinkedHashSet::new);
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		Collection<?> elements = (Collection<?>) value;
		generator.writeStartArray(value, elements.size());
		for (Object item : elements) {
			this.element.write(generator, item);
		}
		generator.writeEndArray();
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		ValueCodec.expect(parser, JsonToken.START_ARRAY);
		List<Object> elements = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			elements.add(this.element.readOrDefault(parser, "in a list or set"));
		}
		return this.toCollection.apply(elements);
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.of((this.toCollection.apply(List.of()) instanceof Set) ? Set.of() : List.of());
	}

}
