package org.redwingramp.storage.internal;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frame around everything that is stored: a four-byte type, the body's length, the
 * CRC32C of type, length and body, and the body. Numbers are big endian. Immutable by
 * convention; thread safe.
 *
 * @param type what the body is
 * @param body the body
 */
record Block(Type type, byte[] body) {

	/** The bytes that a block needs besides its body. */
	static final int OVERHEAD = 12;

	private static final int CRC_OFFSET = 8;

	/**
	 * Encodes the block.
	 * @return the encoded block, ready to be written
	 */
	ByteBuffer encode() {
		ByteBuffer data = ByteBuffer.allocate(OVERHEAD + this.body.length);
		data.putInt(this.type.code).putInt(this.body.length);
		data.putInt(checksum(data.array(), 0, this.body)).put(this.body);
		return data.flip();
	}

	/**
	 * Returns the size of the encoded block.
	 * @return the size in bytes
	 */
	int size() {
		return OVERHEAD + this.body.length;
	}

	/**
	 * Decodes a block. Allocates nothing before the length is known to lie within the
	 * data.
	 * @param data the data
	 * @param offset where the block begins
	 * @param type the expected type
	 * @return the block, or empty if the data hold no intact block of the type there
	 */
	static Optional<Block> decode(byte[] data, int offset, Type type) {
		if (data.length - offset < OVERHEAD) {
			return Optional.empty();
		}
		ByteBuffer buffer = ByteBuffer.wrap(data);
		int length = buffer.getInt(offset + 4);
		if (buffer.getInt(offset) != type.code || length < 0 || length > data.length - offset - OVERHEAD) {
			return Optional.empty();
		}
		byte[] body = new byte[length];
		buffer.get(offset + OVERHEAD, body);
		boolean intact = buffer.getInt(offset + CRC_OFFSET) == checksum(data, offset, body);
		return intact ? Optional.of(new Block(type, body)) : Optional.empty();
	}

	/**
	 * Decodes a file that holds exactly one block.
	 * @param data the file's content
	 * @param type the expected type
	 * @return the block, or empty if the file is not exactly one intact block of the type
	 */
	static Optional<Block> decodeWhole(byte[] data, Type type) {
		return decode(data, 0, type).filter((block) -> block.size() == data.length);
	}

	/**
	 * Returns the size of an intact block.
	 * @param data the data
	 * @param offset where the block begins
	 * @return the size of the encoded block in bytes
	 */
	static int sizeAt(byte[] data, int offset) {
		return OVERHEAD + ByteBuffer.wrap(data).getInt(offset + 4);
	}

	private static int checksum(byte[] header, int offset, byte[] body) {
		CRC32C crc = new CRC32C();
		crc.update(header, offset, CRC_OFFSET);
		crc.update(body);
		return (int) crc.getValue();
	}

	/** The types of block. Codes are durable and must not change. */
	enum Type {

		/** The identity file. */
		IDENTITY(0x52575249),

		/** The mark of what is synced. */
		MARK(0x5257524d),

		/** The first block of a segment. */
		SEGMENT(0x52575253),

		/** A batch in a segment. */
		BATCH(0x52575242),

		/** A snapshot file. */
		SNAPSHOT(0x52575250);

		private final int code;

		Type(int code) {
			this.code = code;
		}

	}

}
