package org.redwingramp.node.link;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.wire.CodecException;

/**
 * Passes a message of each kind through the codec once. A process that has just started
 * does this while it waits, so that its first real messages aren't delayed by class
 * loading. Stateless and thread safe.
 */
public final class LinkWarmup {

	private LinkWarmup() {
	}

	/**
	 * Encodes and decodes the messages between control replicas.
	 * @throws CodecException if a message can't be read back, which is a fault of the
	 * program
	 */
	public static void controlMessages() throws CodecException {
		ReplicaId id = new ReplicaId("warmup", 1);
		LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.NO_OP, 0, new byte[0]);
		List<PeerMessage> messages = List.of(new PeerMessage.PreVoteRequest(1, "", 0, 0),
				new PeerMessage.PreVoteReply(1, true), new PeerMessage.VoteRequest(1, "", 0, 0),
				new PeerMessage.VoteReply(1, true), new PeerMessage.AppendRequest(1, "", 0, 0, 0, 0, List.of(entry)),
				new PeerMessage.AppendReply(1, 0, true, 0));
		roundTrip(new LinkMessage.ReplicaHello(id, true));
		for (PeerMessage message : messages) {
			roundTrip(new LinkMessage.Consensus(id, message));
		}
	}

	/**
	 * Encodes and decodes the messages between control replicas and entry instances.
	 * @throws CodecException if a message can't be read back, which is a fault of the
	 * program
	 */
	public static void entryMessages() throws CodecException {
		FleetView view = new FleetView(1, 1, 1, Optional.of(new byte[1]),
				Optional.of(List.of(new FleetView.ViewTarget("t", "s", "a", "d", 1, true, 0))),
				Optional.of(Map.of("s", List.of(new FleetView.ViewRange(0, 1, "t")))));
		EntryReport report = new EntryReport(List.of(new EntryReport.TargetUse("t", 1, 1, 1)),
				List.of(new EntryReport.KeyUse("s", 1, 1)));
		roundTrip(new LinkMessage.EntryHello("e", 1));
		roundTrip(new LinkMessage.LeaderInfo("l", true, List.of("l")));
		roundTrip(new LinkMessage.Report("e", 1, 1, report));
		roundTrip(new LinkMessage.View(view));
	}

	private static void roundTrip(LinkMessage message) throws CodecException {
		Link.CODEC.decode(Link.CODEC.encode(message));
	}

}
