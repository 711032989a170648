package org.redwingramp.daemon.internal.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.util.Fields;

import org.redwingramp.core.control.ViewUpdate;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

/**
 * Lets operators wait by long polling for changes of the view, or until a view version is
 * in force on all entry instances. Thread safe.
 */
public final class WatchEndpoint {

	private static final long DEFAULT_WAIT_MILLIS = 10_000;

	private static final long MAX_WAIT_MILLIS = 25_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private static final int MAX_CHANGES = 1_000;

	private final ControlReader reader;

	public WatchEndpoint(ControlReader reader) {
		this.reader = reader;
	}

	JsonNode answer(Fields query) throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		long since = optionalNumber(query, "since", -1);
		if (since < 0) {
			throw new OperatorException(400, "malformed-request",
					"the query parameter since must be a view version of 0 or more");
		}
		long awaitedInForce = optionalNumber(query, "in_force", Long.MAX_VALUE);
		long waitMillis = Math.min(MAX_WAIT_MILLIS, optionalNumber(query, "wait_ms", DEFAULT_WAIT_MILLIS));
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		ControlReply.ViewRead read = this.reader.read(since);
		while (!conditionMet(read, since, awaitedInForce) && System.nanoTime() < deadline) {
			sleepPollInterval();
			read = this.reader.read(since);
		}
		return body(read, since);
	}

	private static boolean conditionMet(ControlReply.ViewRead read, long since, long awaitedInForce) {
		return (awaitedInForce != Long.MAX_VALUE) ? read.versionInForce() >= awaitedInForce
				: read.update().toVersion() > since;
	}

	private static void sleepPollInterval() throws ControlUnavailableException {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ControlUnavailableException("interrupted while waiting for changes");
		}
	}

	private static long optionalNumber(Fields query, String name, long defaultValue) throws OperatorException {
		String value = query.getValue(name);
		if (value == null) {
			return defaultValue;
		}
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new OperatorException(400, "malformed-request", name + " must be a number, not \"" + value + "\"");
		}
	}

	private static JsonNode body(ControlReply.ViewRead read, long since) {
		List<ObjectNode> changes = changes(read.update());
		changes.sort(Comparator.comparingLong((change) -> change.path("viewVersion").asLong()));
		boolean truncated = changes.size() > MAX_CHANGES;
		List<ObjectNode> kept = truncated ? changes.subList(0, MAX_CHANGES) : changes;
		// Changes of the last version may be cut off, so the next request asks for them
		// again.
		long version = truncated ? kept.get(MAX_CHANGES - 1).path("viewVersion").asLong() - 1
				: read.update().toVersion();
		// A full view in place of a difference lacks removals, which matters unless the
		// caller has no view yet.
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("viewVersion", version)
			.put("versionInForce", read.versionInForce())
			.put("complete", since == 0 || !read.update().complete());
		ArrayNode list = body.putArray("changes");
		kept.forEach(list::add);
		return body;
	}

	private static List<ObjectNode> changes(ViewUpdate update) {
		List<ObjectNode> changes = new ArrayList<>();
		update.records()
			.forEach((state) -> changes
				.add(change(state.viewVersion(), "record", state.record().kind().label() + "/" + state.record().name(),
						"set", "version " + state.record().version())));
		update.entries()
			.forEach((state) -> changes.add(change(state.viewVersion(), "entry", state.spec().name(), "set",
					state.spec().address() + (state.leaving() ? " leaving" : ""))));
		update.targets()
			.forEach((state) -> changes.add(change(state.viewVersion(), "target", state.spec().name(), "set",
					state.phase().name().toLowerCase(Locale.ROOT) + " gate " + state.gate() + " epoch "
							+ state.gateEpoch())));
		update.shards()
			.forEach((state) -> changes.add(change(state.viewVersion(), "shard", state.id().toString(), "set",
					state.phase().name().toLowerCase(Locale.ROOT) + " " + state.owner() + " fence " + state.fence())));
		update.removed().forEach((removed) -> changes.add(removalChange(removed, update.toVersion())));
		return changes;
	}

	private static ObjectNode removalChange(ViewUpdate.Removed removed, long version) {
		if (removed instanceof ViewUpdate.Removed.RemovedRecord record) {
			return change(version, "record", record.kind().label() + "/" + record.name(), "removed", "");
		}
		if (removed instanceof ViewUpdate.Removed.RemovedEntry entry) {
			return change(version, "entry", entry.name(), "removed", "");
		}
		if (removed instanceof ViewUpdate.Removed.RemovedTarget target) {
			return change(version, "target", target.name(), "removed", "");
		}
		ViewUpdate.Removed.RemovedShard shard = (ViewUpdate.Removed.RemovedShard) removed;
		return change(version, "shard", shard.id().toString(), "removed", "");
	}

	private static ObjectNode change(long version, String resource, String name, String change, String detail) {
		return JsonNodeFactory.instance.objectNode()
			.put("viewVersion", version)
			.put("resource", resource)
			.put("name", name)
			.put("change", change)
			.put("detail", detail);
	}

}
