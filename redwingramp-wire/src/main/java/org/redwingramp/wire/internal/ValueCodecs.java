package org.redwingramp.wire.internal;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the codec of a type. A general mapper would do the same, but the introspection
 * that it does first takes a fifth of the processor time of a process's start. Stateless
 * and thread safe.
 */
final class ValueCodecs {

	private ValueCodecs() {
	}

	static ValueCodec of(Type type) {
		if (type instanceof ParameterizedType generic) {
			return container(generic);
		}
		Class<?> raw = (Class<?>) type;
		return ScalarCodec.of(raw).orElseGet(() -> compound(raw));
	}

	private static ValueCodec compound(Class<?> type) {
		if (type.isEnum()) {
			return new EnumCodec(type);
		}
		if (type.isRecord()) {
			return new RecordValueCodec(type);
		}
		if (type.isSealed()) {
			return new SealedCodec(type);
		}
		throw new IllegalArgumentException(type + " is neither a record nor one of their components");
	}

	private static ValueCodec container(ParameterizedType type) {
		Type[] arguments = type.getActualTypeArguments();
		ValueCodec content = of(arguments[arguments.length - 1]);
		if (type.getRawType() == Optional.class) {
			return new OptionalCodec(content);
		}
		if (type.getRawType() == List.class) {
			return CollectionCodec.list(content);
		}
		if (type.getRawType() == Set.class) {
			return CollectionCodec.set(content);
		}
		if (type.getRawType() == Map.class && arguments[0] == String.class) {
			return new MapCodec(content);
		}
		throw new IllegalArgumentException(type + " can't be the type of a record's component");
	}

}
