package org.redwingramp.bench.soak;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Lets numbers stand for encoded objects, since a round tests decisions and no codec. The
 * objects are immutable. Not thread safe.
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
