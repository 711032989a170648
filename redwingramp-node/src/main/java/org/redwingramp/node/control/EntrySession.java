package org.redwingramp.node.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.redwingramp.core.fleet.ViewFlowControl;
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

	private final ViewFlowControl flowControl;

	private long nextCall = 1;

	boolean behind;

	EntrySession(Link link, String name, long configVersion) {
		this.link = link;
		this.name = name;
		this.flowControl = new ViewFlowControl(configVersion, System.nanoTime());
	}

	Link link() {
		return this.link;
	}

	String name() {
		return this.name;
	}

	ViewFlowControl flowControl() {
		return this.flowControl;
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

}
