package org.redwingramp.daemon.internal.runtime;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.redwingramp.daemon.internal.control.ControlCall;
import org.redwingramp.daemon.internal.control.ControlLoop;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.PeerFrame;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.wire.CallRefusedException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.Peer;
import org.redwingramp.wire.PeerHandler;
import org.redwingramp.wire.RecordCodec;

/**
 * Handles messages and calls from other daemons on the internal port. Thread safe.
 */
final class DaemonPeerHandler implements PeerHandler {

	static final RecordCodec<PeerFrame> FRAMES = RecordCodec.of(PeerFrame.class);

	private static final RecordCodec<ControlCall> CALLS = RecordCodec.of(ControlCall.class);

	private static final RecordCodec<ControlReply> REPLIES = RecordCodec.of(ControlReply.class);

	private final Optional<ControlLoop> control;

	private final Optional<EntryRole> entry;

	DaemonPeerHandler(Optional<ControlLoop> control, Optional<EntryRole> entry) {
		this.control = control;
		this.entry = entry;
	}

	@Override
	public void messageReceived(Peer sender, Kind kind, byte[] payload) {
		if (kind != Kind.CONSENSUS || this.control.isEmpty()) {
			return;
		}
		try {
			this.control.get().receiveMessage(FRAMES.decode(payload));
		}
		catch (CodecException ex) {
			EventLog.log(Event.PEER_REFUSED, sender.address(), ex.getMessage());
		}
	}

	@Override
	public byte[] handleCall(Peer sender, Kind kind, byte[] payload, long deadline) throws CallRefusedException {
		try {
			return switch (kind) {
				case HEARTBEAT, PROPOSE, STATUS -> REPLIES.encode(callControl(CALLS.decode(payload), deadline));
				case FORWARD -> serveForwarded(payload);
				default -> throw new CallRefusedException("unsupported kind of call: " + kind);
			};
		}
		catch (CodecException ex) {
			EventLog.log(Event.PEER_REFUSED, sender.address(), ex.getMessage());
			throw new CallRefusedException("the call is malformed: " + ex.getMessage());
		}
	}

	private ControlReply callControl(ControlCall call, long deadline) {
		if (this.control.isEmpty()) {
			return new ControlReply.NotLeader("");
		}
		CompletableFuture<ControlReply> reply = this.control.get().submitCall(call);
		try {
			return reply.get(Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new ControlReply.Undecided();
		}
		catch (TimeoutException | ExecutionException ex) {
			return new ControlReply.Undecided();
		}
	}

	private byte[] serveForwarded(byte[] payload) throws CodecException, CallRefusedException {
		EntryRole role = this.entry.orElseThrow(() -> new CallRefusedException("this instance has no entry role"));
		return PeerGateClient.REPLIES.encode(role.serve(PeerGateClient.REQUESTS.decode(payload)));
	}

}
