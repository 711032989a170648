package org.redwingramp.daemon.internal.runtime;

import org.redwingramp.daemon.internal.control.ControlPeers;
import org.redwingramp.daemon.internal.control.PeerFrame;
import org.redwingramp.daemon.internal.control.ReplicaLinks;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.PeerLinks;

/**
 * Sends messages to other control replicas over the links between daemons. Thread safe.
 */
final class PeerReplicaLinks implements ReplicaLinks {

	private final PeerLinks links;

	private final ControlPeers peers;

	PeerReplicaLinks(PeerLinks links, ControlPeers peers) {
		this.links = links;
		this.peers = peers;
	}

	@Override
	public void send(String replicaName, PeerFrame frame) {
		String address = this.peers.addresses().get(replicaName);
		if (address == null) {
			return;
		}
		try {
			this.links.send(address, Kind.CONSENSUS, DaemonPeerHandler.FRAMES.encode(frame));
		}
		catch (CodecException ex) {
			EventLog.log(Event.DUTY_FAILED, "encode consensus message", ex.getMessage());
		}
	}

}
