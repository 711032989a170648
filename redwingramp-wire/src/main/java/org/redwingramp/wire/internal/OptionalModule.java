package org.redwingramp.wire.internal;

import java.lang.reflect.Type;
import java.util.Optional;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationConfig;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.deser.Deserializers;
import com.fasterxml.jackson.databind.deser.ValueInstantiator;
import com.fasterxml.jackson.databind.deser.std.ReferenceTypeDeserializer;
import com.fasterxml.jackson.databind.jsontype.TypeDeserializer;
import com.fasterxml.jackson.databind.jsontype.TypeSerializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.Serializers;
import com.fasterxml.jackson.databind.ser.std.ReferenceTypeSerializer;
import com.fasterxml.jackson.databind.type.ReferenceType;
import com.fasterxml.jackson.databind.type.TypeBindings;
import com.fasterxml.jackson.databind.type.TypeFactory;
import com.fasterxml.jackson.databind.type.TypeModifier;
import com.fasterxml.jackson.databind.util.NameTransformer;

/**
 * Encodes an {@link Optional} as its value, or as null if it is empty. Stateless and
 * thread safe.
 */
final class OptionalModule extends SimpleModule {

	@Override
	public void setupModule(SetupContext context) {
		context.addTypeModifier(new Modifier());
		context.addSerializers(new Serializers.Base() {
			@Override
			public JsonSerializer<?> findReferenceSerializer(SerializationConfig config, ReferenceType type,
					BeanDescription description, TypeSerializer typeSerializer, JsonSerializer<Object> content) {
				return type.hasRawClass(Optional.class) ? new Writer(type, typeSerializer, content) : null;
			}
		});
		context.addDeserializers(new Deserializers.Base() {
			@Override
			public JsonDeserializer<?> findReferenceDeserializer(ReferenceType type, DeserializationConfig config,
					BeanDescription description, TypeDeserializer typeDeserializer, JsonDeserializer<?> content) {
				return type.hasRawClass(Optional.class) ? new Reader(type, null, typeDeserializer, content) : null;
			}
		});
	}

	private static final class Modifier extends TypeModifier {

		@Override
		public JavaType modifyType(JavaType type, Type jdkType, TypeBindings bindings, TypeFactory factory) {
			boolean optional = type.hasRawClass(Optional.class) && !type.isReferenceType();
			return optional ? ReferenceType.upgradeFrom(type, type.containedTypeOrUnknown(0)) : type;
		}

	}

	private static final class Writer extends ReferenceTypeSerializer<Optional<?>> {

		Writer(ReferenceType type, TypeSerializer typeSerializer, JsonSerializer<Object> content) {
			super(type, true, typeSerializer, content);
		}

		Writer(Writer base, BeanProperty property, TypeSerializer typeSerializer, JsonSerializer<?> content,
				NameTransformer unwrapper, Object suppressable, boolean suppressNulls) {
			super(base, property, typeSerializer, content, unwrapper, suppressable, suppressNulls);
		}

		@Override
		protected ReferenceTypeSerializer<Optional<?>> withResolved(BeanProperty property,
				TypeSerializer typeSerializer, JsonSerializer<?> content, NameTransformer unwrapper) {
			return new Writer(this, property, typeSerializer, content, unwrapper, this._suppressableValue,
					this._suppressNulls);
		}

		@Override
		public ReferenceTypeSerializer<Optional<?>> withContentInclusion(Object suppressable, boolean suppressNulls) {
			return new Writer(this, this._property, this._valueTypeSerializer, this._valueSerializer, this._unwrapper,
					suppressable, suppressNulls);
		}

		@Override
		protected boolean _isValuePresent(Optional<?> value) {
			return value.isPresent();
		}

		@Override
		protected Object _getReferenced(Optional<?> value) {
			return value.orElseThrow();
		}

		@Override
		protected Object _getReferencedIfPresent(Optional<?> value) {
			return value.orElse(null);
		}

	}

	private static final class Reader extends ReferenceTypeDeserializer<Optional<?>> {

		Reader(JavaType type, ValueInstantiator instantiator, TypeDeserializer typeDeserializer,
				JsonDeserializer<?> content) {
			super(type, instantiator, typeDeserializer, content);
		}

		@Override
		protected ReferenceTypeDeserializer<Optional<?>> withResolved(TypeDeserializer typeDeserializer,
				JsonDeserializer<?> content) {
			return new Reader(this._fullType, this._valueInstantiator, typeDeserializer, content);
		}

		@Override
		public Optional<?> getNullValue(DeserializationContext context) {
			return Optional.empty();
		}

		@Override
		public Object getEmptyValue(DeserializationContext context) {
			return Optional.empty();
		}

		@Override
		public Object getAbsentValue(DeserializationContext context) {
			return Optional.empty();
		}

		@Override
		public Optional<?> referenceValue(Object content) {
			return Optional.ofNullable(content);
		}

		@Override
		public Optional<?> updateReference(Optional<?> reference, Object content) {
			return Optional.ofNullable(content);
		}

		@Override
		public Object getReferenced(Optional<?> reference) {
			return reference.orElse(null);
		}

	}

}
