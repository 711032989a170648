package org.redwingramp.wire.internal;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TProtocolUtil;

/**
 * Thrift's strict binary protocol with limits on field sizes and nesting. Stateless and
 * thread safe.
 */
public final class WireProtocol {

	/**
	 * The maximum nesting of unknown fields, which could otherwise overflow the stack;
	 * the messages of the protocol nest to a depth of 2.
	 */
	private static final int MAX_SKIP_DEPTH = 16;

	static {
		TProtocolUtil.setMaxSkipDepth(MAX_SKIP_DEPTH);
	}

	private WireProtocol() {
	}

	/**
	 * Creates a factory of protocol instances.
	 * @param maxBytes the maximum length of a string or binary field in bytes
	 * @return the factory
	 */
	public static TProtocolFactory factory(int maxBytes) {
		return new TBinaryProtocol.Factory(true, true, maxBytes, 0);
	}

}
