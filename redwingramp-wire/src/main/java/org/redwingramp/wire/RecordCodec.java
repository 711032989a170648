package org.redwingramp.wire;

import java.io.IOException;

import org.redwingramp.wire.internal.CborFormat;

/**
 * Encodes records as CBOR. The encoding is durable: commands are stored as they are sent.
 *
 * <p>
 * A record is a map from component names to values. A value of a sealed interface is a
 * map with one field, whose name is the simple name of the record's class. Missing
 * components get their empty value (0, {@code false}, an empty string, list, map or
 * optional) and unknown ones are ignored, so components of these types can be added. A
 * missing record or enum constant is an error; no decoded component is ever null.
 * Components, type names and enum constants must not be renamed. Immutable and thread
 * safe.
 *
 * @param <T> the type of the values, a record or a sealed interface of records
 */
public final class RecordCodec<T> {

	/** The largest encoded value unless stated otherwise, in bytes. */
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
	 * Creates a codec with the default limit.
	 * @param <T> the type of the values
	 * @param type the type of the values
	 * @return the codec
	 */
	public static <T> RecordCodec<T> of(Class<T> type) {
		return new RecordCodec<>(type, DEFAULT_MAX_BYTES);
	}

	/**
	 * Creates a codec with a limit of its own, for example for snapshots.
	 * @param <T> the type of the values
	 * @param type the type of the values
	 * @param maxBytes the largest encoded value in bytes
	 * @return the codec
	 */
	public static <T> RecordCodec<T> of(Class<T> type, int maxBytes) {
		return new RecordCodec<>(type, maxBytes);
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return the encoded value
	 * @throws CodecException if the encoded value is over the limit or the type can't be
	 * encoded
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
	 * @throws CodecException if the data are over the limit, nested too deeply or not
	 * exactly one value of the type
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
			throw new CodecException("A " + this.type.getSimpleName() + " of " + size + " bytes is over the limit of "
					+ this.maxBytes + " bytes");
		}
	}

}
