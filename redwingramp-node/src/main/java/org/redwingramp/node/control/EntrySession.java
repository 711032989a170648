package org.redwingramp.node.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;

/**
 * An entry instance that follows this leader. Not thread safe; it belongs to the loop's
 * thread.
 */
final class EntrySession {

	private final Link link;

	private final String name;

	private final Map<Long, Consumer<GrantReply>> relayed = new HashMap<>();

	private final Deque<SentView> unacknowledged = new ArrayDeque<>();

	private long nextCall = 1;

	long configVersion;

	long targetChanges = -1;

	long keyChanges = -1;

	private long acknowledged;

	boolean behind;

	EntrySession(Link link, String name, long configVersion) {
		this.link = link;
		this.name = name;
		this.configVersion = configVersion;
	}

	Link link() {
		return this.link;
	}

	String name() {
		return this.name;
	}

	long acknowledgedSequence() {
		return this.acknowledged;
	}

	void send(FleetView view, long now) {
		this.unacknowledged.add(new SentView(view.sequence(), now));
		this.link.send(new LinkMessage.View(view));
	}

	void acknowledged(long sequence) {
		this.acknowledged = sequence;
		this.unacknowledged.removeIf((sent) -> sent.sequence() <= sequence);
	}

	// Returns the age of the oldest view that the entry instance hasn't acknowledged.
	long behindNanos(long now) {
		return this.unacknowledged.isEmpty() ? 0 : now - this.unacknowledged.peek().sentNanos();
	}

	long relay(long term, String address, GrantCall call, Consumer<GrantReply> reply) {
		long number = this.nextCall++;
		this.relayed.put(number, reply);
		this.link.send(new LinkMessage.RelayCall(number, term, address, call));
		return number;
	}

	void relayed(long number, GrantReply reply) {
		Consumer<GrantReply> waiting = this.relayed.remove(number);
		if (waiting != null) {
			waiting.accept(reply);
		}
	}

	private record SentView(long sequence, long sentNanos) {
	}

}
