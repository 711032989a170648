package org.redwingramp.storage.internal;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frame in which all data is stored: a four-byte type, the length of the payload, the
 * CRC32C checksum of type, length and payload, and the payload. Numbers are big endian.
 * The payload must not be modified, so an instance is immutable by convention and thread
 * safe.
 *
 * @param type the type of the payload
 * @param payload the payload
 */
record Frame(Type type, byte[] payload) {

	/** The size of type, length and checksum. */
	static final int OVERHEAD_BYTES = 12;

	private static final int CRC_OFFSET = 8;

	/**
	 * Encodes the frame.
	 * @return the encoded frame, ready to be written
	 */
	ByteBuffer encode() {
		ByteBuffer data = ByteBuffer.allocate(OVERHEAD_BYTES + this.payload.length);
		data.putInt(this.type.code).putInt(this.payload.length);
		data.putInt(checksum(data.array(), 0, this.payload)).put(this.payload);
		return data.flip();
	}

	/**
	 * Returns the size of the encoded frame.
	 * @return the size in bytes
	 */
	int encodedSize() {
		return OVERHEAD_BYTES + this.payload.length;
	}

	/**
	 * Decodes a frame. Allocates no memory before the length is known to lie within the
	 * data, since the length of a damaged frame may be arbitrary.
	 * @param data the data
	 * @param offset the offset at which the frame starts
	 * @param type the expected type
	 * @return the frame, or empty if there is no intact frame of this type at the offset
	 */
	static Optional<Frame> decode(byte[] data, int offset, Type type) {
		if (data.length - offset < OVERHEAD_BYTES) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(data);
		int length = buffer.getInt(offset + 4);
		if (buffer.getInt(offset) != type.code || length < 0 || length > data.length - offset - OVERHEAD_BYTES) {
			return Optional.empty();
		}
		byte[] payload = new byte[length];
		buffer.get(offset + OVERHEAD_BYTES, payload);
		boolean intact = buffer.getInt(offset + CRC_OFFSET) == checksum(data, offset, payload);
		return intact ? Optional.of(new Frame(type, payload)) : Optional.empty();
	}

	/**
	 * Decodes a file that holds exactly one frame.
	 * @param data the content of the file
	 * @param type the expected type
	 * @return the frame, or empty if the file is not exactly one intact frame of this
	 * type
	 */
	static Optional<Frame> decodeSingle(byte[] data, Type type) {
		return decode(data, 0, type).filter((frame) -> frame.encodedSize() == data.length);
	}

	/**
	 * Returns the encoded size of an intact frame.
	 * @param data the data
	 * @param offset the offset at which the frame starts
	 * @return the size in bytes
	 */
	static int encodedSizeAt(byte[] data, int offset) {
		return OVERHEAD_BYTES + ByteBuffer.wrap(data).getInt(offset + 4);
	}

	private static int checksum(byte[] header, int offset, byte[] payload) {
		CRC32C crc = new CRC32C();
		crc.update(header, offset, CRC_OFFSET);
		crc.update(payload);
		return (int) crc.getValue();
	}

	/** The types of frames. The codes are stored and must not change. */
	enum Type {

		/** The identity of the data folder, in a file of its own. */
		IDENTITY(0x52575249),

		/** The sync mark, in a file of its own. */
		MARK(0x5257524d),

		/** The header of a log segment, its first frame. */
		SEGMENT(0x52575253),

		/** A batch in a log segment. */
		BATCH(0x52575242),

		/** A snapshot, in a file of its own. */
		SNAPSHOT(0x52575250);

		private final int code;

		Type(int code) {
			this.code = code;
		}

	}

}
