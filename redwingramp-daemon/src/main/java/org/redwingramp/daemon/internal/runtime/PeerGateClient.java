package org.redwingramp.daemon.internal.runtime;

import java.time.Duration;

import org.redwingramp.daemon.internal.gate.GateReply;
import org.redwingramp.daemon.internal.gate.GateRequest;
import org.redwingramp.daemon.internal.route.GatePeer;
import org.redwingramp.daemon.internal.route.Problem;
import org.redwingramp.wire.Answer;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.RecordCodec;

/**
 * Forwards requests to gates on other entry instances. Thread safe.
 */
final class PeerGateClient implements GatePeer {

	static final RecordCodec<GateRequest> REQUESTS = RecordCodec.of(GateRequest.class);

	static final RecordCodec<GateReply> REPLIES = RecordCodec.of(GateReply.class);

	/** Extra time to receive the reply of a gate where the request timed out. */
	private static final long REPLY_MARGIN_MILLIS = 50;

	private final PeerLinks links;

	PeerGateClient(PeerLinks links) {
		this.links = links;
	}

	@Override
	public GateReply forward(String address, GateRequest request) {
		try {
			Duration timeout = Duration.ofMillis(request.remainingMillis() + REPLY_MARGIN_MILLIS);
			Answer answer = this.links.call(address, Kind.FORWARD, REQUESTS.encode(request), timeout);
			return REPLIES.decode(answer.payload());
		}
		catch (CallNotExecutedException ex) {
			return GateReply.refused(Problem.WRONG_GATE,
					"the gate at " + address + " is not reachable: " + ex.getMessage());
		}
		catch (OutcomeUnknownException ex) {
			return GateReply.refused(Problem.NO_ANSWER,
					"the gate at " + address + " gave no reply: " + ex.getMessage());
		}
		catch (CodecException ex) {
			return GateReply.refused(Problem.NO_ANSWER,
					"the request to the gate at " + address + " or its reply is malformed: " + ex.getMessage());
		}
	}

}
