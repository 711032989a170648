package org.redwingramp.daemon.internal.route;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.gate.GateReply;
import org.redwingramp.daemon.internal.gate.GateRequest;
import org.redwingramp.daemon.internal.gate.GateService;

/**
 * Routes a caller's request: finds its destination, sends it through the gate, retries
 * where that is safe. Thread safe; {@link #route} blocks.
 *
 * <p>
 * Invariants: after an unknown outcome only an idempotent request is sent again; the
 * retry budget bounds what is sent again after a target failed.
 */
public final class RequestRouter {

	private final EntrySession session;

	private final RequestClassifier classifier;

	private final DestinationFinder finder;

	private final GateService gates;

	private final GatePeer peers;

	private final TargetLoads loads;

	private final ServiceHealth health;

	private final Hedger hedger;

	private final LongSupplier clock;

	RequestRouter(RouterParts parts) {
		this.session = parts.session();
		this.classifier = parts.classifier();
		this.finder = parts.finder();
		this.gates = parts.gates();
		this.peers = parts.peers();
		this.loads = parts.loads();
		this.health = parts.health();
		this.hedger = parts.hedger();
		this.clock = parts.clock();
	}

	/**
	 * Routes a request and waits for what becomes of it.
	 * @param inbound the request
	 * @param cancelled completed if the caller goes away
	 * @return what became of it
	 * @throws RequestRefusedException if there is no answer
	 */
	public RoutedReply route(InboundRequest inbound, CompletableFuture<Void> cancelled) throws RequestRefusedException {
		if (!this.session.mayRoute()) {
			throw new RequestRefusedException(Problem.CONTROL_SILENT, "no valid view");
		}
		RoutedRequest request = this.classifier.classify(inbound, this.session.view());
		this.health.requested(request.service().name());
		GateReply reply = attempts(request, cancelled);
		return new RoutedReply(request.identity(), reply);
	}

	private GateReply attempts(RoutedRequest request, CompletableFuture<Void> cancelled) {
		Set<String> tried = new HashSet<>();
		GateReply last = GateReply.refused(Problem.NO_OWNER, "no target owns the key in the view");
		int attempt = 0;
		long pauseNanos = Rerouting.firstPause();
		while (this.clock.getAsLong() < request.deadline() && !cancelled.isDone()) {
			ControlView view = this.session.view();
			Optional<Destination> destination = this.session.mayRoute() ? this.finder.find(request, view, tried)
					: Optional.empty();
			if (destination.isEmpty() && !tried.isEmpty()) {
				return last;
			}
			if (destination.isPresent()) {
				attempt++;
				GateReply reply = send(request, destination.get(), view, tried, cancelled);
				last = reply.after(last);
				if (!again(request, reply, attempt, tried, destination.get())) {
					return last;
				}
			}
			pause(view, pauseNanos);
			pauseNanos = Rerouting.nextPause(pauseNanos, last);
		}
		return last;
	}

	private boolean again(RoutedRequest request, GateReply reply, int attempt, Set<String> tried,
			Destination destination) {
		if (reply.problem().isEmpty()) {
			return false;
		}
		Problem problem = reply.problem().get();
		if (Rerouting.waits(reply, request.service().keySource().keyed())) {
			return true;
		}
		boolean safe = (problem == Problem.NO_ANSWER) ? request.requestClass().retryable() : reply.targetFailed();
		if (!safe || !this.health.tryRetry(request.service().name())) {
			return false;
		}
		exclude(request, reply, tried, destination);
		EventLog.log(Event.RETRIED, request.identity(), problem.code(), attempt + 1);
		return true;
	}

	// Without keys another target can take the request.
	private static void exclude(RoutedRequest request, GateReply reply, Set<String> tried, Destination destination) {
		if (reply.targetFailed() && !request.service().keySource().keyed()) {
			tried.add(destination.target().spec().name());
		}
	}

	private GateReply send(RoutedRequest request, Destination destination, ControlView view, Set<String> tried,
			CompletableFuture<Void> cancelled) {
		OptionalLong delay = request.service().keySource().keyed() ? OptionalLong.empty()
				: this.health.hedgeDelay(request.service().name(), request.requestClass());
		if (delay.isEmpty()) {
			return sendOnce(request, destination, cancelled);
		}
		return this.hedger.send(delay.getAsLong(), () -> sendOnce(request, destination, cancelled),
				() -> second(request, destination, view, tried, cancelled));
	}

	private Optional<GateReply> second(RoutedRequest request, Destination first, ControlView view, Set<String> tried,
			CompletableFuture<Void> cancelled) {
		Set<String> excluded = new HashSet<>(tried);
		excluded.add(first.target().spec().name());
		Optional<Destination> other = this.finder.find(request, view, excluded);
		if (other.isEmpty() || !this.health.tryHedge(request.service().name())) {
			return Optional.empty();
		}
		EventLog.log(Event.HEDGED, request.identity(), first.target().spec().name(),
				other.get().target().spec().name());
		return Optional.of(sendOnce(request, other.get(), cancelled));
	}

	private GateReply sendOnce(RoutedRequest request, Destination destination, CompletableFuture<Void> cancelled) {
		String target = destination.target().spec().name();
		EventLog.log(Event.ROUTED, request.identity(), request.service().name(), request.key(), destination.shard(),
				destination.fence(), target, destination.target().gate(), request.requestClass());
		GateRequest gateRequest = gateRequest(request, destination);
		this.loads.started(target);
		GateReply reply = destination.local() ? this.gates.serve(gateRequest, this.session.view(), cancelled)
				: this.peers.forward(destination.gateAddress(), gateRequest);
		this.loads.ended(target, reply.busy(), reply.serviceNanos());
		observe(request, target, reply);
		return reply;
	}

	private void observe(RoutedRequest request, String target, GateReply reply) {
		String service = request.service().name();
		if (reply.problem().isEmpty() && !reply.replayed()) {
			this.health.answered(service, target, reply.serviceNanos(),
					this.clock.getAsLong() - request.inbound().arrivedNanos());
		}
		else if (reply.targetFailed() && reply.serviceNanos() > 0) {
			this.health.unanswered(service, target, reply.serviceNanos());
		}
	}

	private GateRequest gateRequest(RoutedRequest request, Destination destination) {
		long remaining = Math.max(1, TimeUnit.NANOSECONDS.toMillis(request.deadline() - this.clock.getAsLong()));
		return new GateRequest(request.service().name(), request.inbound().method(),
				request.inbound().path() + request.inbound().query(), request.inbound().passedOn(),
				request.inbound().body(), request.requestClass(), request.identity(), request.issuedMillis(),
				destination.target().spec().name(), destination.target().gateEpoch(), request.key(),
				destination.shard(), destination.fence(), remaining);
	}

	private void pause(ControlView view, long nanos) {
		try {
			this.session.awaitNewer(view.version(), nanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
