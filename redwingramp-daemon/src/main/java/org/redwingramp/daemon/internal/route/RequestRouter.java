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
 * Routes callers' requests: selects the target, sends the request through the target's
 * gate, and retries where that is safe. Thread safe; {@link #route} blocks.
 *
 * <p>
 * Invariants: after an unknown outcome only an idempotent request is sent again; the
 * number of requests sent again after a target failed stays within the retry budget.
 */
public final class RequestRouter {

	private final EntrySession session;

	private final RequestClassifier classifier;

	private final DestinationFinder finder;

	private final GateService gates;

	private final GatePeer peers;

	private final TargetLoads loads;

	private final ServicePolicies policies;

	private final Hedger hedger;

	private final LongSupplier clock;

	RequestRouter(RouterDependencies dependencies) {
		this.session = dependencies.session();
		this.classifier = dependencies.classifier();
		this.finder = dependencies.finder();
		this.gates = dependencies.gates();
		this.peers = dependencies.peers();
		this.loads = dependencies.loads();
		this.policies = dependencies.policies();
		this.hedger = dependencies.hedger();
		this.clock = dependencies.clock();
	}

	/**
	 * Routes a request and waits for the reply.
	 * @param inbound the request
	 * @param cancelled completed when the caller disconnects
	 * @return the identity of the request and the reply to it
	 * @throws RequestRefusedException if this instance has no valid view or the request
	 * is malformed
	 */
	public RoutedReply route(InboundRequest inbound, CompletableFuture<Void> cancelled) throws RequestRefusedException {
		if (!this.session.mayRoute()) {
			throw new RequestRefusedException(Problem.CONTROL_SILENT, "this instance has no valid view");
		}
		RoutedRequest request = this.classifier.classify(inbound, this.session.view());
		this.policies.firstAttemptStarted(request.service().name());
		GateReply reply = sendWithRetries(request, cancelled);
		return new RoutedReply(request.identity(), reply);
	}

	private GateReply sendWithRetries(RoutedRequest request, CompletableFuture<Void> cancelled) {
		Set<String> failedTargets = new HashSet<>();
		GateReply last = GateReply.refused(Problem.NO_OWNER, "no target in the view can accept the request");
		int attempt = 0;
		long pauseNanos = Rerouting.firstPause();
		while (this.clock.getAsLong() < request.deadlineNanos() && !cancelled.isDone()) {
			ControlView view = this.session.view();
			Optional<Destination> destination = this.session.mayRoute() ? this.finder.find(request, view, failedTargets)
					: Optional.empty();
			if (destination.isEmpty() && !failedTargets.isEmpty()) {
				return last;
			}
			if (destination.isPresent()) {
				attempt++;
				GateReply reply = send(request, destination.get(), view, failedTargets, cancelled);
				last = reply.combineWithEarlier(last);
				if (!shouldRetry(request, reply, attempt, failedTargets, destination.get())) {
					return last;
				}
			}
			awaitNewerView(view, pauseNanos);
			pauseNanos = Rerouting.nextPause(pauseNanos, last);
		}
		return last;
	}

	private boolean shouldRetry(RoutedRequest request, GateReply reply, int attempt, Set<String> failedTargets,
			Destination destination) {
		if (reply.problem().isEmpty()) {
			return false;
		}
		Problem problem = reply.problem().get();
		if (Rerouting.awaitsNewerView(reply, request.service().keySource().keyed())) {
			return true;
		}
		boolean safe = (problem == Problem.NO_ANSWER) ? request.requestClass().retryable() : reply.targetFailed();
		if (!safe || !this.policies.tryRetry(request.service().name())) {
			return false;
		}
		excludeFailedTarget(request, reply, failedTargets, destination);
		EventLog.log(Event.RETRIED, request.identity(), problem.code(), attempt + 1);
		return true;
	}

	// A request without a key is retried on another target than the one that failed.
	private static void excludeFailedTarget(RoutedRequest request, GateReply reply, Set<String> failedTargets,
			Destination destination) {
		if (reply.targetFailed() && !request.service().keySource().keyed()) {
			failedTargets.add(destination.target().spec().name());
		}
	}

	private GateReply send(RoutedRequest request, Destination destination, ControlView view, Set<String> failedTargets,
			CompletableFuture<Void> cancelled) {
		OptionalLong delay = request.service().keySource().keyed() ? OptionalLong.empty()
				: this.policies.hedgeDelay(request.service().name(), request.requestClass());
		if (delay.isEmpty()) {
			return sendOnce(request, destination, cancelled);
		}
		return this.hedger.send(delay.getAsLong(), () -> sendOnce(request, destination, cancelled),
				() -> sendHedge(request, destination, view, failedTargets, cancelled));
	}

	private Optional<GateReply> sendHedge(RoutedRequest request, Destination first, ControlView view,
			Set<String> failedTargets, CompletableFuture<Void> cancelled) {
		Set<String> excluded = new HashSet<>(failedTargets);
		excluded.add(first.target().spec().name());
		Optional<Destination> other = this.finder.find(request, view, excluded);
		if (other.isEmpty() || !this.policies.tryHedge(request.service().name())) {
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
		this.loads.sendStarted(target);
		GateReply reply = destination.local() ? this.gates.serve(gateRequest, this.session.view(), cancelled)
				: this.peers.forward(destination.gateAddress(), gateRequest);
		this.loads.sendEnded(target, reply.busy(), reply.serviceNanos());
		recordReply(request, target, reply);
		return reply;
	}

	private void recordReply(RoutedRequest request, String target, GateReply reply) {
		String service = request.service().name();
		if (reply.problem().isEmpty() && !reply.replayed()) {
			this.policies.answerReceived(service, target, reply.serviceNanos(),
					this.clock.getAsLong() - request.inbound().arrivedNanos());
		}
		else if (reply.targetFailed() && reply.serviceNanos() > 0) {
			this.policies.answerMissing(service, target, reply.serviceNanos());
		}
	}

	private GateRequest gateRequest(RoutedRequest request, Destination destination) {
		long remainingMillis = Math.max(1,
				TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - this.clock.getAsLong()));
		return new GateRequest(request.service().name(), request.inbound().method(),
				request.inbound().path() + request.inbound().query(), request.inbound().forwardedHeaders(),
				request.inbound().body(), request.requestClass(), request.identity(), request.issuedMillis(),
				destination.target().spec().name(), destination.target().gateEpoch(), request.key(),
				destination.shard(), destination.fence(), remainingMillis);
	}

	private void awaitNewerView(ControlView view, long nanos) {
		try {
			this.session.awaitViewNewerThan(view.version(), nanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
