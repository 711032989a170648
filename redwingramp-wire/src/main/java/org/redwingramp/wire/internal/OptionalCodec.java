package org.redwingramp.wire.internal;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;

/**
 * Encodes an {@link Optional} as its value, or as null if it is empty. Immutable and
 * thread safe.
 */
final class OptionalCodec implements ValueCodec {

	private final ValueCodec valueCodec;

	OptionalCodec(ValueCodec valueCodec) {
		this.valueCodec = valueCodec;
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		Optional<?> optional = (Optional<?>) value;
		if (optional.isPresent()) {
			this.valueCodec.write(generator, optional.get());
		}
		else {
			generator.writeNull();
		}
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		return Optional.of(this.valueCodec.read(parser));
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.of(Optional.empty());
	}

}
