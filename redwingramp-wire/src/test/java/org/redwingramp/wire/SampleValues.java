package org.redwingramp.wire;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Makes values of records by reflection, none of whose components is empty. Not thread
 * safe.
 */
final class SampleValues {

	private int counter;

	/**
	 * Makes a value of each record that a type permits.
	 * @param type a record or sealed interface
	 * @return the values
	 */
	List<Object> each(Class<?> type) {
		return permitted(type).map(this::value).toList();
	}

	static Stream<Class<?>> permitted(Class<?> type) {
		return type.isSealed() ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SampleValues::permitted)
				: Stream.of(type);
	}

	private Object value(Type type) {
		this.counter++;
		if (type instanceof ParameterizedType generic) {
			return container(generic);
		}
		Class<?> raw = (Class<?>) type;
		if (raw.isEnum()) {
			return raw.getEnumConstants()[this.counter % raw.getEnumConstants().length];
		}
		if (raw.isSealed()) {
			List<Class<?>> records = permitted(raw).toList();
			return value(records.get(this.counter % records.size()));
		}
		return raw.isRecord() ? record(raw) : simple(raw);
	}

	private Object container(ParameterizedType type) {
		Type[] arguments = type.getActualTypeArguments();
		if (type.getRawType() == Optional.class) {
			return Optional.of(value(arguments[0]));
		}
		return (type.getRawType() == List.class) ? List.of(value(arguments[0]), value(arguments[0]))
				: Map.of(value(arguments[0]), value(arguments[1]));
	}

	private Object simple(Class<?> type) {
		return switch (type.getSimpleName()) {
			case "String" -> "text-" + this.counter;
			case "int" -> -this.counter;
			case "long", "Long" -> (1L << 40) + this.counter;
			case "double", "Double" -> 0.1 + this.counter;
			case "boolean" -> true;
			case "byte[]" -> new byte[] { (byte) this.counter, -1, 0 };
			default -> throw new IllegalArgumentException("No sample value for " + type);
		};
	}

	private Object record(Class<?> type) {
		RecordComponent[] components = type.getRecordComponents();
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		Object[] values = Arrays.stream(components).map((component) -> value(component.getGenericType())).toArray();
		try {
			Constructor<?> constructor = type.getDeclaredConstructor(types);
			return constructor.newInstance(values);
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("Can't make a " + type, ex);
		}
	}

}
