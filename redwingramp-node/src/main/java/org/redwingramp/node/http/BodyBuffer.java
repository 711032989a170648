package org.redwingramp.node.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the bytes of one message body. It holds them once: a body of known length is
 * collected in the array that is handed out. Not thread safe.
 */
final class BodyBuffer {

	private static final byte[] EMPTY = {};

	/** Arrays grow to at least this size, unless the body is known to be smaller. */
	private static final int MIN_CAPACITY = 1024;

	private byte[] bytes = EMPTY;

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
		int added = data.remaining();
		ensureCapacity(this.size + added);
		data.get(this.bytes, this.size, added);
		this.size += added;
	}

	// Hands out the body and leaves the buffer empty, without memory of its own.
	byte[] take() {
		byte[] body = (this.size == this.bytes.length) ? this.bytes : Arrays.copyOf(this.bytes, this.size);
		clear();
		return body;
	}

	void clear() {
		this.bytes = EMPTY;
		this.size = 0;
		this.expectedSize = 0;
	}

	private void ensureCapacity(int needed) {
		if (needed <= this.bytes.length) {
			return;
		}
		int next = (needed <= this.expectedSize) ? this.expectedSize
				: Math.max(needed, Math.max(MIN_CAPACITY, this.bytes.length * 2));
		this.bytes = Arrays.copyOf(this.bytes, next);
	}

}
