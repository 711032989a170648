package org.redwingramp.wire.internal;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;

/**
 * Makes sealed interfaces polymorphic: the type name is the simple name of the permitted
 * record. Stateless and thread safe.
 */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {

	@Override
	public JsonTypeInfo.Value findPolymorphicTypeInfo(MapperConfig<?> config, Annotated annotated) {
		return sealed(annotated.getRawType()) ? JsonTypeInfo.Value.construct(JsonTypeInfo.Id.NAME,
				JsonTypeInfo.As.WRAPPER_OBJECT, null, null, false, true) : null;
	}

	@Override
	public List<NamedType> findSubtypes(Annotated annotated) {
		return sealed(annotated.getRawType())
				? records(annotated.getRawType()).map((type) -> new NamedType(type, type.getSimpleName())).toList()
				: null;
	}

	/**
	 * Lists the records that a sealed interface permits, also through nested sealed
	 * interfaces.
	 * @param type the interface
	 * @return the records
	 */
	static Stream<Class<?>> records(Class<?> type) {
		return sealed(type) ? Arrays.stream(type.getPermittedSubclasses()).flatMap(SealedTypeIntrospector::records)
				: Stream.of(type);
	}

	private static boolean sealed(Class<?> type) {
		return type.isInterface() && type.isSealed();
	}

}
