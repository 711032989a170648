package org.redwingramp.wire.internal;

import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TProtocolUtil;

/**
 * Thrift's strict binary protocol with limits. Stateless and thread safe.
 */
public final class WireProtocol {

	/** The messages nest to 2; deeper unknown fields would use up the stack. */
	private static final int MAX_SKIP_DEPTH = 16;

	static {
		TProtocolUtil.setMaxSkipDepth(MAX_SKIP_DEPTH);
	}

	private WireProtocol() {
	}

	/**
	 * Creates the protocol's factory.
	 * @param maxBytes the longest text or byte field
	 * @return the factory
	 */
	public static TProtocolFactory factory(int maxBytes) {
		return new TBinaryProtocol.Factory(true, true, maxBytes, 0);
	}

}
