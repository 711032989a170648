package org.redwingramp.node.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the bytes of one message body. Invariants: a body of known length is collected
 * in the array that is handed out; any other is collected in parts, so that the memory
 * used exceeds the size of the body by less than {@value #MIN_PART_BYTES} bytes until it
 * is handed out. Not thread safe.
 */
final class BodyBuffer {

	private static final byte[] EMPTY = {};

	private static final int MIN_PART_BYTES = 1024;

	private final List<ByteBuffer> parts = new ArrayList<>();

	private int size;

	private int expectedSize;

	// Sets the length of the body, which must not be exceeded.
	void expect(int length) {
		this.expectedSize = length;
	}

	int size() {
		return this.size;
	}

	void append(ByteBuffer data) {
		this.size += data.remaining();
		if (!this.parts.isEmpty()) {
			fill(last(), data);
		}
		if (data.hasRemaining()) {
			int expected = this.parts.isEmpty() ? this.expectedSize : 0;
			int minimum = (expected > 0) ? expected : MIN_PART_BYTES;
			this.parts.add(ByteBuffer.allocate(Math.max(minimum, data.remaining())));
			fill(last(), data);
		}
	}

	// Hands out the body and leaves the buffer empty, without memory of its own.
	byte[] take() {
		byte[] body = assemble();
		clear();
		return body;
	}

	void clear() {
		this.parts.clear();
		this.size = 0;
		this.expectedSize = 0;
	}

	private byte[] assemble() {
		if (this.size == 0) {
			return EMPTY;
		}
		if (this.parts.size() == 1 && !last().hasRemaining()) {
			return last().array();
		}
		ByteBuffer body = ByteBuffer.allocate(this.size);
		this.parts.forEach((part) -> body.put(part.flip()));
		return body.array();
	}

	private ByteBuffer last() {
		return this.parts.get(this.parts.size() - 1);
	}

	private static void fill(ByteBuffer part, ByteBuffer data) {
		int length = Math.min(part.remaining(), data.remaining());
		part.put(data.slice(data.position(), length));
		data.position(data.position() + length);
	}

}
