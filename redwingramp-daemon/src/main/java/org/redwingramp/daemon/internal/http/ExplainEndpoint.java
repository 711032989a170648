package org.redwingramp.daemon.internal.http;

import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.util.Fields;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.KeyHash;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

/**
 * Explains to operators which target a request is routed to, and why. Thread safe.
 */
public final class ExplainEndpoint {

	private final ControlReader reader;

	public ExplainEndpoint(ControlReader reader) {
		this.reader = reader;
	}

	JsonNode answer(Fields query) throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		String name = requiredParameter(query, "service");
		ControlView view = ControlReader.view(this.reader.read(0));
		RecordBody.Service service = view.service(name)
			.orElseThrow(() -> new OperatorException(404, "not-found", "no such service: " + name));
		return service.keySource().keyed() ? explainKeyed(view, service, requiredParameter(query, "key"))
				: explainUnkeyed(view, service);
	}

	private static String requiredParameter(Fields query, String name) throws OperatorException {
		String value = query.getValue(name);
		if (value == null || value.isEmpty()) {
			throw new OperatorException(400, "malformed-request", "the query parameter " + name + " is missing");
		}
		return value;
	}

	private static JsonNode explainKeyed(ControlView view, RecordBody.Service service, String key) {
		Optional<ShardState> shard = view.shard(service, key);
		Optional<TargetState> owner = shard.flatMap((state) -> view.target(state.owner()));
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("service", service.name())
			.put("key", key)
			.put("slice", KeyHash.slice(key, service.slices()))
			.put("shard", shard.map((state) -> state.id().toString()).orElse(""))
			.put("owner", shard.map(ShardState::owner).orElse(""))
			.put("fence", shard.map(ShardState::fence).orElse(0L))
			.put("phase", shard.map((state) -> state.phase().name().toLowerCase(Locale.ROOT)).orElse("unowned"));
		putOwner(view, owner, body);
		boolean pinned = view.records()
			.stream()
			.map((state) -> state.record().body())
			.filter(RecordBody.Pin.class::isInstance)
			.map(RecordBody.Pin.class::cast)
			.anyMatch((pin) -> pin.service().equals(service.name()) && pin.keys().contains(key));
		body.put("pinned", pinned).put("viewVersion", view.version());
		ArrayNode reasons = body.putArray("reasons");
		shard.ifPresentOrElse((state) -> reasons.add(phaseReason(state)),
				() -> reasons.add("the service has no shards yet"));
		if (pinned) {
			reasons.add("a pin record names the key");
		}
		return body;
	}

	private static String phaseReason(ShardState shard) {
		return switch (shard.phase()) {
			case OWNED ->
				shard.id() + " has been owned by " + shard.owner() + " since view version " + shard.viewVersion();
			case RELEASING ->
				shard.id() + " is being moved from " + shard.owner() + "; requests wait until the move is complete";
			case UNOWNED -> shard.id() + " has had no owner since view version " + shard.viewVersion()
					+ "; requests wait until their deadline and are then refused with the outcome not-run";
		};
	}

	private static void putOwner(ControlView view, Optional<TargetState> owner, ObjectNode body) {
		String gate = owner.map(TargetState::gate).orElse("");
		String domain = owner.map((target) -> target.spec().failureDomain()).orElse("");
		body.put("gate", gate)
			.put("gateEpoch", owner.map(TargetState::gateEpoch).orElse(0L))
			.put("gateAddress", view.entry(gate).map((entry) -> entry.spec().address()).orElse(""))
			.put("failureDomain", domain)
			.put("domainState", view.domainAcceptsWork(domain) ? "in" : "out");
	}

	private static JsonNode explainUnkeyed(ControlView view, RecordBody.Service service) {
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("service", service.name())
			.put("key", "")
			.put("slice", -1)
			.put("shard", "")
			.put("owner", "")
			.put("fence", 0)
			.put("phase", "unkeyed");
		putOwner(view, Optional.empty(), body);
		body.put("pinned", false).put("viewVersion", view.version());
		ArrayNode reasons = body.putArray("reasons");
		view.targets(service.name())
			.forEach((target) -> reasons.add(target.spec().name() + " in " + target.spec().failureDomain() + ", "
					+ target.phase().name().toLowerCase(Locale.ROOT) + ", gate " + target.gate()));
		return body;
	}

}
