package org.redwingramp.wire;

import java.io.IOException;

import org.redwingramp.wire.internal.CborFormat;

/**
 * Encodes records as CBOR. The encoding must stay compatible between versions, since
 * commands are stored in the form in which they are sent.
 *
 * <p>
 * A record is encoded as a map from component names to values. A value of a sealed
 * interface is encoded as a map with one field, whose name is the simple name of the
 * record's class. Missing components get a default value (0, {@code false}, an empty
 * string, list, map or optional) and unknown ones are ignored, so components of these
 * types can be added later. A missing record or enum constant is an error; decoded
 * components are never null. Components, types and enum constants must not be renamed,
 * because their names are part of the encoding. Immutable and thread safe.
 *
 * @param <T> the type of the values, a record or a sealed interface of records
 */
public final class RecordCodec<T> {

	/**
	 * The default maximum size of an encoded value in bytes, which leaves room for the
	 * envelope in a frame of 5 MiB.
	 */
	public static final int DEFAULT_MAX_BYTES = 5 * 1024 * 1024 - 4096;

	private final Class<T> type;

	private final int maxBytes;

	private final CborFormat format;

	private RecordCodec(Class<T> type, int maxBytes) {
		this.type = type;
		this.maxBytes = maxBytes;
		this.format = CborFormat.of(type);
	}

	/**
	 * Creates a codec with the default size limit.
	 * @param <T> the type of the values
	 * @param type the type of the values
	 * @return the codec
	 */
	public static <T> RecordCodec<T> of(Class<T> type) {
		return new RecordCodec<>(type, DEFAULT_MAX_BYTES);
	}

	/**
	 * Creates a codec with a given size limit, for example for snapshots.
	 * @param <T> the type of the values
	 * @param type the type of the values
	 * @param maxBytes the maximum size of an encoded value in bytes
	 * @return the codec
	 */
	public static <T> RecordCodec<T> of(Class<T> type, int maxBytes) {
		return new RecordCodec<>(type, maxBytes);
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return the encoded value
	 * @throws CodecException if the encoded value exceeds the size limit or a component
	 * can't be read
	 */
	public byte[] encode(T value) throws CodecException {
		byte[] data;
		try {
			data = this.format.encode(value);
		}
		catch (IOException ex) {
			throw new CodecException("Can't encode a " + this.type.getSimpleName() + ": " + ex.getMessage(), ex);
		}
		checkSize(data.length);
		return data;
	}

	/**
	 * Decodes a value.
	 * @param data the encoded value
	 * @return the value
	 * @throws CodecException if the data exceed the size limit, are nested too deeply or
	 * are not exactly one value of the type
	 */
	public T decode(byte[] data) throws CodecException {
		checkSize(data.length);
		T value;
		try {
			value = this.type.cast(this.format.decode(data));
		}
		catch (IOException ex) {
			throw new CodecException(
					"Can't decode a " + this.type.getSimpleName() + " of " + data.length + " bytes: " + ex.getMessage(),
					ex);
		}
		return value;
	}

	private void checkSize(int size) throws CodecException {
		if (size > this.maxBytes) {
			throw new CodecException("An encoded " + this.type.getSimpleName() + " must not exceed " + this.maxBytes
					+ " bytes (was " + size + ")");
		}
	}

}
