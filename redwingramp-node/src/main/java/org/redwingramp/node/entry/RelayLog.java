package org.redwingramp.node.entry;

import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.link.LinkMessage.RelayCall;

/**
 * Counts the leader's calls that an entry instance relays to targets, and logs those that
 * explain who may own keys: each release, each grant that wasn't confirmed and each call
 * that wasn't relayed. Invariant: a confirmed grant leaves no line, since each lease is
 * renewed all the time. Not thread safe; confined to the event loop thread.
 */
final class RelayLog {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final String REFUSED = "refused";

	private final EventWriter events;

	RelayLog(EventWriter events) {
		this.events = events;
	}

	// Takes note of a call that isn't relayed.
	void refused(RelayCall relay, String service, long newestTerm, long leftMillis) {
		count(relay, REFUSED);
		this.events.log(NodeEvent.RELAY_REFUSED, "call", relay.call().kind(), "service", service, "keys",
				relay.call().keys(), "target", relay.call().target(), "address", relay.address(), "fence",
				relay.call().fence(), "term", relay.term(), "newest-term", newestTerm, "left", leftMillis);
	}

	// Takes note of the outcome of a call after the given wait for it.
	void returned(RelayCall relay, String service, GrantReply reply, long waitedNanos) {
		count(relay, reply.outcome().name());
		if (relay.call().release() || reply.outcome() != GrantOutcome.CONFIRMED) {
			this.events.log(NodeEvent.CALL_RELAYED, "call", relay.call().kind(), "service", service, "keys",
					relay.call().keys(), "target", relay.call().target(), "address", relay.address(), "fence",
					relay.call().fence(), "term", relay.term(), "outcome", reply.outcome(), "waited",
					waitedNanos / NANOS_PER_MILLI);
		}
	}

	private void count(RelayCall relay, String outcome) {
		this.events.metrics().count("relayed_" + relay.call().kind() + 's', outcome);
	}

}
