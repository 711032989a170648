package org.redwingramp.wire.internal;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
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

	/** The mapper. */
	public static final ObjectMapper INSTANCE = create();

	private CborMapper() {
	}

	private static ObjectMapper create() {
		CBORFactory factory = CBORFactory.builder()
			.streamReadConstraints(
					StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).maxNameLength(MAX_NAME_LENGTH).build())
			.build();
		return CBORMapper.builder(factory)
			.annotationIntrospector(new SealedTypeIntrospector())
			.addModule(new OptionalModule())
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
			.defaultSetterInfo(JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY))
			.build();
	}

}
