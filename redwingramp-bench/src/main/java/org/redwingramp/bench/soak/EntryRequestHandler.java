package org.redwingramp.bench.soak;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.redwingramp.bench.soak.ServiceRequest.Answer;
import org.redwingramp.bench.soak.ServiceRequest.Receiver;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.core.control.TargetState;

/**
 * Handles requests at an entry instance: forwards them to the gate of the owner, records
 * at-most-once requests in the ledger, sends them to the target and returns the answer.
 * Not thread safe.
 */
final class EntryRequestHandler {

	/** No target still runs a request after this time. */
	private static final long TIMEOUT_NANOS = 1500 * Simulation.MILLISECOND;

	private static final long LEDGER_TIMEOUT_MILLIS = 5_000;

	private final EntryProcess entry;

	EntryRequestHandler(EntryProcess entry) {
		this.entry = entry;
	}

	void receive(ServiceRequest request, Receiver receiver) {
		Optional<Route> route = route(request.key());
		if (!this.entry.agent().mayRoute(this.entry.clock()) || route.isEmpty() || route.get().gate().isEmpty()) {
			receiver.receive(Answer.NOT_RUN);
		}
		else if (route.get().gate().equals(this.entry.name())) {
			serveAsGate(request, receiver);
		}
		else {
			forward(request, route.get().gate(), callOnce(receiver));
		}
	}

	private Optional<Route> route(String key) {
		return this.entry.agent()
			.view()
			.service(ControlWorkload.SERVICE)
			.flatMap((service) -> this.entry.agent().view().shard(service, key))
			.flatMap((shard) -> this.entry.agent()
				.view()
				.target(shard.owner())
				.map((target) -> new Route(shard, target)));
	}

	private void forward(ServiceRequest request, String gate, Receiver receiver) {
		ControlWorkload workload = this.entry.workload();
		SimulatedNetwork network = workload.cluster().network();
		EntryProcess other = workload.entry(gate);
		network.sendOnce(this.entry.name(), gate,
				() -> other.run(() -> new EntryRequestHandler(other).serveAsGate(request, (answer) -> network
					.sendOnce(gate, this.entry.name(), () -> this.entry.run(() -> receiver.receive(answer))))));
		this.entry.runAfter(2 * TIMEOUT_NANOS, () -> receiver.receive(Answer.UNKNOWN));
	}

	private void serveAsGate(ServiceRequest request, Receiver receiver) {
		Optional<Route> route = route(request.key()).filter(this::mayDispatch);
		if (route.isEmpty()) {
			receiver.receive(Answer.NOT_RUN);
		}
		else if (request.atMostOnce()) {
			beginAtMostOnce(request, route.get(), receiver);
		}
		else {
			dispatch(request, route.get(), 0, receiver);
		}
	}

	private boolean mayDispatch(Route route) {
		ShardState shard = route.shard();
		return route.gate().equals(this.entry.name())
				&& this.entry.agent().mayDispatch(shard.owner(), shard.id(), shard.fence(), this.entry.clock());
	}

	private void beginAtMostOnce(ServiceRequest request, Route route, Receiver receiver) {
		ShardState shard = route.shard();
		Command command = new Command.BeginRequest(request.identity(), "digest", shard.owner(), this.entry.name(),
				route.target().gateEpoch(), shard.id(), shard.fence(), LEDGER_TIMEOUT_MILLIS);
		this.entry.client().propose(command, (status, result) -> {
			if (result instanceof CommandResult.Begun begun) {
				handleBegun(request, route, begun, receiver);
			}
			else {
				receiver.receive(Answer.NOT_RUN);
			}
		});
	}

	private void handleBegun(ServiceRequest request, Route route, CommandResult.Begun begun, Receiver receiver) {
		switch (begun.status()) {
			case STARTED -> dispatch(request, route, begun.attempt(), receiver);
			case DONE -> receiver.receive(Answer.ANSWERED);
			case RUNNING, UNKNOWN, EXPIRED -> receiver.receive(Answer.UNKNOWN);
			default -> receiver.receive(Answer.NOT_RUN);
		}
	}

	private void dispatch(ServiceRequest request, Route route, long attempt, Receiver receiver) {
		boolean sameEpoch = route(request.key())
			.filter((present) -> present.target().gateEpoch() == route.target().gateEpoch())
			.isPresent();
		if (!sameEpoch || !mayDispatch(route)) {
			proposeIfAtMostOnce(request, new Command.AbortRequest(request.identity(), attempt));
			receiver.receive(Answer.NOT_RUN);
			return;
		}
		String name = route.shard().owner();
		EntryProcess.InFlight running = new EntryProcess.InFlight(request.submission(), request.key(), name);
		this.entry.inFlight().add(running);
		SimulatedNetwork network = this.entry.workload().cluster().network();
		this.entry.workload()
			.target(name)
			.ifPresent((target) -> network.sendOnce(this.entry.name(), name,
					() -> target.run(() -> target.execute(request, route.target().gateEpoch(), route.shard().id(),
							route.shard().fence(), (ran) -> network.sendOnce(name, this.entry.name(), () -> this.entry
								.run(() -> handleTargetReply(request, running, attempt, ran, receiver)))))));
		this.entry.runAfter(TIMEOUT_NANOS, () -> timedOut(request, running, attempt, receiver));
	}

	private void handleTargetReply(ServiceRequest request, EntryProcess.InFlight running, long attempt, boolean ran,
			Receiver receiver) {
		if (!this.entry.inFlight().remove(running)) {
			return;
		}
		if (!ran) {
			proposeIfAtMostOnce(request, new Command.AbortRequest(request.identity(), attempt));
			receiver.receive(Answer.NOT_RUN);
		}
		else if (request.atMostOnce()) {
			recordAnswer(request, attempt, receiver);
		}
		else {
			receiver.receive(Answer.ANSWERED);
		}
	}

	private void recordAnswer(ServiceRequest request, long attempt, Receiver receiver) {
		StoredAnswer answer = StoredAnswer.of(200, "text/plain",
				request.identity().key().getBytes(StandardCharsets.UTF_8));
		this.entry.client()
			.propose(new Command.FinishRequest(request.identity(), attempt, answer), (status, result) -> receiver
				.receive((result instanceof CommandResult.Applied) ? Answer.ANSWERED : Answer.UNKNOWN));
	}

	private void timedOut(ServiceRequest request, EntryProcess.InFlight running, long attempt, Receiver receiver) {
		if (this.entry.inFlight().remove(running)) {
			proposeIfAtMostOnce(request, new Command.MarkUnknown(request.identity(), attempt));
			receiver.receive(Answer.UNKNOWN);
		}
	}

	private void proposeIfAtMostOnce(ServiceRequest request, Command command) {
		if (request.atMostOnce()) {
			this.entry.client().propose(command, (status, result) -> {
			});
		}
	}

	private static Receiver callOnce(Receiver receiver) {
		boolean[] done = new boolean[1];
		return (answer) -> {
			if (!done[0]) {
				done[0] = true;
				receiver.receive(answer);
			}
		};
	}

	private record Route(ShardState shard, TargetState target) {

		String gate() {
			return this.target.gate();
		}

	}

}
