package org.redwingramp.daemon.internal.http;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.daemon.internal.control.ControlReply;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;

/**
 * Reports the state of the cluster as held by the control group: replicas, entry
 * instances, services, failure domains and targets. Thread safe.
 */
public final class StatusEndpoint {

	private final ControlReader reader;

	public StatusEndpoint(ControlReader reader) {
		this.reader = reader;
	}

	JsonNode answer() throws ControlUnavailableException, ControlUndecidedException {
		ControlReply.ViewRead read = this.reader.read(0);
		ControlView view = ControlReader.view(read);
		ObjectNode body = JsonNodeFactory.instance.objectNode()
			.put("clusterId", view.clusterId())
			.put("leader", read.leader())
			.put("term", read.term())
			.put("commitIndex", read.commitIndex())
			.put("ledgerSize", read.ledgerSize())
			.put("viewVersion", view.version())
			.put("versionInForce", read.versionInForce())
			.put("revision", read.revision());
		body.set("replicas", replicas(read));
		body.set("entries", entries(view));
		body.set("services", services(view));
		body.set("domains", domains(view));
		body.set("targets", targets(view));
		return body;
	}

	private static ArrayNode replicas(ControlReply.ViewRead read) {
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		read.replicas().forEach((replica) -> {
			String name = replica.substring(0, replica.indexOf('#'));
			boolean voter = replica.endsWith(" voter");
			String role = name.equals(read.leader()) ? "leader" : (voter ? "follower" : "learner");
			list.addObject().put("name", name).put("role", role).put("voter", voter);
		});
		return list;
	}

	private static ArrayNode entries(ControlView view) {
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		view.entries()
			.forEach((entry) -> list.addObject()
				.put("name", entry.spec().name())
				.put("address", entry.spec().address())
				.put("failureDomain", entry.spec().failureDomain())
				.put("leaving", entry.leaving())
				.put("targets", view.targetsOfGate(entry.spec().name()).size()));
		return list;
	}

	private static List<RecordBody.Service> serviceRecords(ControlView view) {
		return view.records()
			.stream()
			.map((state) -> state.record().body())
			.filter(RecordBody.Service.class::isInstance)
			.map(RecordBody.Service.class::cast)
			.toList();
	}

	private static ArrayNode services(ControlView view) {
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		serviceRecords(view).forEach((service) -> {
			Collection<ShardState> shards = view.shards(service.name());
			long version = view.record(RecordKind.SERVICE, service.name())
				.map((state) -> state.record().version())
				.orElse(0L);
			list.addObject()
				.put("name", service.name())
				.put("version", version)
				.put("targets", view.targets(service.name()).size())
				.put("shards", shards.size())
				.put("unowned", count(shards, ShardPhase.UNOWNED))
				.put("releasing", count(shards, ShardPhase.RELEASING));
		});
		return list;
	}

	private static long count(Collection<ShardState> shards, ShardPhase phase) {
		return shards.stream().filter((shard) -> shard.phase() == phase).count();
	}

	private static ArrayNode domains(ControlView view) {
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		view.records()
			.stream()
			.map((state) -> state.record().body())
			.filter(RecordBody.Domain.class::isInstance)
			.map(RecordBody.Domain.class::cast)
			.forEach((domain) -> list.addObject()
				.put("name", domain.name())
				.put("state", domain.state().name().toLowerCase(Locale.ROOT))
				.put("targets",
						allTargets(view).stream()
							.filter((target) -> target.spec().failureDomain().equals(domain.name()))
							.count()));
		return list;
	}

	private static List<TargetState> allTargets(ControlView view) {
		return serviceRecords(view).stream().flatMap((service) -> view.targets(service.name()).stream()).toList();
	}

	private static ArrayNode targets(ControlView view) {
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		allTargets(view).forEach((target) -> list.addObject()
			.put("name", target.spec().name())
			.put("service", target.spec().service())
			.put("failureDomain", target.spec().failureDomain())
			.put("phase", target.phase().name().toLowerCase(Locale.ROOT))
			.put("gate", target.gate())
			.put("gateEpoch", target.gateEpoch())
			.put("shards", view.shardsOf(target.spec().name()).size()));
		return list;
	}

}
