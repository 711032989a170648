package org.redwingramp.node.link;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.wire.CodecException;

/**
 * Encodes and decodes each message of an entry instance once, so that class loading
 * doesn't delay its first view. An entry instance does this in its event loop while it
 * waits for a leader. The event loop of a control replica has no such idle time: there
 * the same step delayed the election, so a replica does it on a separate thread.
 * Stateless and thread safe.
 */
public final class LinkWarmup {

	private static final Observation SAMPLE_LIMIT = new Observation(ObservationKind.TARGET_LIMIT, "t", 1, 1);

	private LinkWarmup() {
	}

	/**
	 * Encodes and decodes the messages between control replicas and entry instances.
	 * @throws CodecException if a message can't be decoded again, which is a programming
	 * error
	 */
	public static void entryMessages() throws CodecException {
		EntryReport report = new EntryReport(List.of(new EntryReport.TargetUse("t", 1, 1, 1)),
				List.of(new EntryReport.KeyUse("s", 1, 1)), List.of(SAMPLE_LIMIT));
		roundTrip(new LinkMessage.EntryHello("e", 1));
		roundTrip(new LinkMessage.LeaderInfo("l", true, List.of("l"), Optional.of(true)));
		roundTrip(new LinkMessage.Report("e", 1, 1, report, Optional.of(1L), Optional.of(1L), Optional.empty()));
		roundTrip(new LinkMessage.View(sampleView()));
		roundTrip(new LinkMessage.PermitRequest(1, "t", 1, Optional.of(SAMPLE_LIMIT), 1));
		roundTrip(new LinkMessage.PermitReply(1, true, 1));
	}

	/**
	 * Returns a sample view with one target and one key range.
	 * @return the view
	 */
	public static FleetView sampleView() {
		return new FleetView(1, 1, 0, 0, 1, Optional.of(new byte[1]),
				List.of(new FleetView.ViewTarget("t", "s", "127.0.0.1:1", "d", 1, true, 0, 0, false)), List.of("u"),
				Map.of("s", List.of(new FleetView.ViewRange(0, 1, "t"))), List.of(SAMPLE_LIMIT));
	}

	private static void roundTrip(LinkMessage message) throws CodecException {
		Link.CODEC.decode(Link.CODEC.encode(message));
	}

}
