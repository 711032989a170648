package org.redwingramp.wire.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;

/**
 * The configured CBOR mapper. Thread safe.
 */
public final class CborMapper {

	/** The deepest nesting that is decoded; the records of the core nest to about 8. */
	static final int MAX_NESTING = 32;

	/** The longest field name; names are those of record components and map keys. */
	static final int MAX_NAME_LENGTH = 4096;

	private static final List<Class<?>> EMPTY_IF_MISSING = List.of(String.class, byte[].class, List.class, Map.class,
			Optional.class);

	private static final List<Class<?>> ZERO_IF_MISSING = List.of(int.class, long.class, double.class, boolean.class);

	/** The mapper. */
	public static final ObjectMapper INSTANCE = create();

	private CborMapper() {
	}

	private static ObjectMapper create() {
		CBORFactory factory = CBORFactory.builder()
			.streamReadConstraints(
					StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).maxNameLength(MAX_NAME_LENGTH).build())
			// Map keys come from callers and would fill the table of interned strings.
			.disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
			.build();
		CBORMapper.Builder builder = CBORMapper.builder(factory)
			.annotationIntrospector(new SealedTypeIntrospector())
			.addModule(new OptionalModule())
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
			.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
		builder.defaultSetterInfo(JsonSetter.Value.forValueNulls(Nulls.FAIL));
		ZERO_IF_MISSING.forEach((type) -> ifMissing(builder, type, Nulls.SET));
		EMPTY_IF_MISSING.forEach((type) -> ifMissing(builder, type, Nulls.AS_EMPTY));
		return builder.build();
	}

	private static void ifMissing(CBORMapper.Builder builder, Class<?> type, Nulls nulls) {
		builder.withConfigOverride(type, (override) -> override.setSetterInfo(JsonSetter.Value.forValueNulls(nulls)));
	}

}
