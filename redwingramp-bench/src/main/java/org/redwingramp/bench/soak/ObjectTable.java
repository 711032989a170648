package org.redwingramp.bench.soak;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes objects as their index in a table, since a round tests decisions and not the
 * codec. The objects must be immutable. Not thread safe.
 */
final class ObjectTable {

	private final List<Object> objects = new ArrayList<>();

	byte[] encode(Object object, int padding) {
		this.objects.add(object);
		return ByteBuffer.allocate(Integer.BYTES + padding).putInt(this.objects.size() - 1).array();
	}

	Object decode(byte[] encoded) {
		return this.objects.get(ByteBuffer.wrap(encoded).getInt());
	}

}
