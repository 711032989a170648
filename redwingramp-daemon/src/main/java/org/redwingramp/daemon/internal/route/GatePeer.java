package org.redwingramp.daemon.internal.route;

import org.redwingramp.daemon.internal.gate.GateReply;
import org.redwingramp.daemon.internal.gate.GateRequest;

/**
 * Forwards requests to gates that other instances hold. Implementations are thread safe.
 */
public interface GatePeer {

	/**
	 * Forwards a request and waits for the reply.
	 * @param address the internal address of the gate's instance as {@code ip:port}
	 * @param request the routed request
	 * @return the gate's reply; {@link Problem#WRONG_GATE} if no byte was sent,
	 * {@link Problem#NO_ANSWER} if bytes may have been sent and no reply arrived
	 */
	GateReply forward(String address, GateRequest request);

}
