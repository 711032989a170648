package org.redwingramp.wire.internal;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Creates the codec of a type. A general object mapper is not used, since its initial
 * introspection takes a fifth of the CPU time of a process's start. Stateless and thread
 * safe.
 */
final class ValueCodecs {

	private ValueCodecs() {
	}

	static ValueCodec of(Type type) {
		if (type instanceof ParameterizedType generic) {
			return containerCodec(generic);
		}
		Class<?> raw = (Class<?>) type;
		return ScalarCodec.of(raw).orElseGet(() -> compoundCodec(raw));
	}

	private static ValueCodec compoundCodec(Class<?> type) {
		if (type.isEnum()) {
			return new EnumCodec(type);
		}
		if (type.isRecord()) {
			return new RecordValueCodec(type);
		}
		if (type.isSealed()) {
			return new SealedCodec(type);
		}
		throw new IllegalArgumentException(type + " is neither a record nor a supported type of a record component");
	}

	private static ValueCodec containerCodec(ParameterizedType type) {
		Type[] arguments = type.getActualTypeArguments();
		ValueCodec element = of(arguments[arguments.length - 1]);
		if (type.getRawType() == Optional.class) {
			return new OptionalCodec(element);
		}
		if (type.getRawType() == List.class) {
			return CollectionCodec.list(element);
		}
		if (type.getRawType() == Set.class) {
			return CollectionCodec.set(element);
		}
		if (type.getRawType() == Map.class && arguments[0] == String.class) {
			return new MapCodec(element);
		}
		throw new IllegalArgumentException(type + " is not a supported type of a record component");
	}

}
