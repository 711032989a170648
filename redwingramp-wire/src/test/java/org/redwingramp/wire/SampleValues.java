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
 * Creates sample values of records by reflection, without empty components. Not thread
 * safe.
 */
final class SampleValues {

	private int valueCount;

	/**
	 * Creates one value of each record type that a type permits.
	 * @param type a record or sealed interface
	 * @return the values
	 */
	List<Object> ofEach(Class<?> type) {
		return permittedRecords(type).map(this::value).toList();
	}

	static Stream<Class<?>> permittedRecords(Class<?> type) {
		return type.isSealed() ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SampleValues::permittedRecords)
				: Stream.of(type);
	}

	private Object value(Type type) {
		this.valueCount++;
		if (type instanceof ParameterizedType generic) {
			return container(generic);
		}
		Class<?> raw = (Class<?>) type;
		if (raw.isEnum()) {
			return raw.getEnumConstants()[this.valueCount % raw.getEnumConstants().length];
		}
		if (raw.isSealed()) {
			List<Class<?>> records = permittedRecords(raw).toList();
			return value(records.get(this.valueCount % records.size()));
		}
		return raw.isRecord() ? record(raw) : scalar(raw);
	}

	private Object container(ParameterizedType type) {
		Type[] arguments = type.getActualTypeArguments();
		if (type.getRawType() == Optional.class) {
			return Optional.of(value(arguments[0]));
		}
		return (type.getRawType() == List.class) ? List.of(value(arguments[0]), value(arguments[0]))
				: Map.of(value(arguments[0]), value(arguments[1]));
	}

	private Object scalar(Class<?> type) {
		return switch (type.getSimpleName()) {
			case "String" -> "text-" + this.valueCount;
			case "int" -> -this.valueCount;
			case "long", "Long" -> (1L << 40) + this.valueCount;
			case "double", "Double" -> 0.1 + this.valueCount;
			case "boolean" -> true;
			case "byte[]" -> new byte[] { (byte) this.valueCount, -1, 0 };
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
			throw new IllegalStateException("Can't create a sample value of " + type, ex);
		}
	}

}
