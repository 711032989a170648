package org.redwingramp.wire.internal;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Encodes a record as a map from component names to values. Unknown components are
 * skipped. Immutable and thread safe.
 */
final class RecordValueCodec implements ValueCodec {

	private final Class<?> type;

	private final String[] names;

	private final Method[] accessors;

	private final ValueCodec[] codecs;

	private final Constructor<?> constructor;

	private final Map<String, Integer> positions = new HashMap<>();

	RecordValueCodec(Class<?> type) {
		this.type = type;
		RecordComponent[] components = type.getRecordComponents();
		this.names = Arrays.stream(components).map(RecordComponent::getName).toArray(String[]::new);
		this.accessors = Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
		this.codecs = Arrays.stream(components)
			.map((component) -> ValueCodecs.of(component.getGenericType()))
			.toArray(ValueCodec[]::new);
		this.constructor = constructor(type, components);
		Arrays.stream(this.accessors).forEach((accessor) -> accessor.setAccessible(true));
		for (int i = 0; i < this.names.length; i++) {
			this.positions.put(this.names[i], i);
		}
	}

	@Override
	public void write(JsonGenerator generator, Object value) throws IOException {
		generator.writeStartObject();
		for (int i = 0; i < this.names.length; i++) {
			generator.writeFieldName(this.names[i]);
			this.codecs[i].write(generator, component(value, i));
		}
		generator.writeEndObject();
	}

	@Override
	public Object read(JsonParser parser) throws IOException {
		ValueCodec.expect(parser, JsonToken.START_OBJECT);
		Object[] values = new Object[this.names.length];
		for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
			parser.nextToken();
			Integer position = this.positions.get(name);
			if (position != null) {
				values[position] = this.codecs[position].readOrDefault(parser, name);
			}
			else {
				parser.skipChildren();
			}
		}
		ValueCodec.expect(parser, JsonToken.END_OBJECT);
		for (int i = 0; i < values.length; i++) {
			values[i] = (values[i] != null) ? values[i] : this.codecs[i].required(this.names[i]);
		}
		return create(values);
	}

	@Override
	public Optional<Object> defaultValue() {
		return Optional.empty();
	}

	private Object component(Object value, int position) throws IOException {
		try {
			return this.accessors[position].invoke(value);
		}
		catch (ReflectiveOperationException ex) {
			throw new IOException("can't read component " + this.names[position] + " of " + this.type.getSimpleName(),
					ex);
		}
	}

	private Object create(Object[] values) throws IOException {
		try {
			return this.constructor.newInstance(values);
		}
		catch (InvocationTargetException ex) {
			throw new IOException("the constructor of " + this.type.getSimpleName()
					+ " rejected the decoded components: " + ex.getCause(), ex);
		}
		catch (ReflectiveOperationException ex) {
			throw new IOException("can't invoke the constructor of " + this.type.getSimpleName(), ex);
		}
	}

	private static Constructor<?> constructor(Class<?> type, RecordComponent[] components) {
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> canonical = type.getDeclaredConstructor(types);
			canonical.setAccessible(true);
			return canonical;
		}
		catch (NoSuchMethodException ex) {
			throw new IllegalStateException(type + " has no canonical constructor", ex);
		}
	}

}
