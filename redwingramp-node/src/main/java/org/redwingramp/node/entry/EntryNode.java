package org.redwingramp.node.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.redwingramp.core.dispatch.Admission;
import org.redwingramp.core.dispatch.CrashSuspects;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.EntryReport.KeyUse;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.LagReason;
import org.redwingramp.core.fleet.ViewFlowControl;
import org.redwingramp.core.observation.EntryObservations;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.observation.ObservationTable.Observed;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.routing.RetryBudgets;
import org.redwingramp.core.traffic.CallerLimits;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.control.TargetCalls;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.events.NodeMetrics;
import org.redwingramp.node.http.BodyMemoryLimit;
import org.redwingramp.node.http.Header;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpLimits;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.HttpServer;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.link.LinkWarmup;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.wire.CodecException;

/**
 * An entry instance: accepts requests of callers and starts a {@link RequestExecution}
 * for each, applies the views of the control leader, reports usage to it and relays its
 * calls to targets. Not thread safe; confined to the event loop thread.
 */
public final class EntryNode implements ControlLinks.Listener {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * If no message has been received from a control leader for longer than this,
	 * requests for keys are refused: by then another target may own the keys, even though
	 * the owner in the current view still holds them under a grant that arrived late. The
	 * value is the maximum duration of a grant that the platform allows, plus a margin.
	 */
	private static final long MAX_LEADER_CONTACT_AGE_NANOS = 12_000 * MILLISECOND;

	/**
	 * The minimum time to keep running after the stop signal. The platform keeps routing
	 * new connections to this instance until two of its readiness probes have failed.
	 */
	private static final long MIN_DRAIN_NANOS = 2600 * MILLISECOND;

	private static final long DRAIN_CHECK_INTERVAL_NANOS = 50 * MILLISECOND;

	/** Interval between two checks for idle connections to targets that have expired. */
	private static final long STALE_CHECK_INTERVAL_NANOS = 1000 * MILLISECOND;

	/**
	 * The fraction of the grace period after which requests that are still in flight are
	 * broken off.
	 */
	private static final double GRACE_FRACTION = 0.9;

	/**
	 * The fraction of the grace period after which the process stops although callers
	 * still read responses. The rest is for the exit of the process on a busy machine.
	 */
	private static final double WRITE_GRACE_FRACTION = 0.95;

	/**
	 * The fraction of the time until then in which a request that may be repeated is
	 * accepted with a later deadline, since it is likely to be answered in time.
	 */
	private static final double LATE_DEADLINE_FRACTION = 0.5;

	/** The weight of a new response in the moving average of a route's response time. */
	private static final double ROUTE_AVERAGE_WEIGHT = 0.03;

	/** The response time assumed for a route before its first response. */
	private static final double INITIAL_ROUTE_MILLIS = 100;

	/** Maximum number of cold targets of one view that are logged. */
	private static final int MAX_LOGGED_COLD_TARGETS = 20;

	/** Maximum number of skipped elements of one view that are logged. */
	private static final int MAX_LOGGED_ELEMENTS = 5;

	private final EventLoop loop;

	private final EntrySettings settings;

	private final PlatformDialect dialect;

	private final EventWriter events;

	private final EntryView view;

	private final ControlLinks control;

	private final TargetCalls calls;

	private final RelayLog relayLog;

	private final Admission admission = new Admission();

	private final EntryObservations observations = new EntryObservations();

	private final BodyMemoryLimit requestMemory = BodyMemoryLimit.forRequests();

	private final RatePermits permits;

	private final CrashSuspects suspects = new CrashSuspects(this.observations);

	private final CrashDetector crashes;

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final Map<String, Double> routeMillis = new HashMap<>();

	private final Map<String, Map<Integer, Float>> keyUseMillis = new HashMap<>();

	private final Set<RequestExecution> waitingForOwner = new LinkedHashSet<>();

	private final Set<RequestExecution> executions = new LinkedHashSet<>();

	private HttpServer callerServer;

	private final ViewLag lag = new ViewLag();

	// The link on which the last view of the newest known term was received.
	private Link currentViewLink;

	private Optional<LagReason> loggedLag = Optional.empty();

	private boolean stopping;

	// Until when a process that is stopping keeps running in any case, when it breaks off
	// requests, and when it stops at the latest.
	private long lastDrainNanos;

	private long breakOffNanos;

	private long latestStopNanos;

	// From when it accepts no request at all with a deadline after the break-off.
	private long noLateDeadlinesNanos;

	// Estimated size of the views that were applied since the last report.
	private long unacknowledgedBytes;

	private EntryNode(EventLoop loop, EntrySettings settings, PlatformDialect dialect, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.dialect = dialect;
		this.events = events;
		this.view = new EntryView(loop, dialect);
		this.control = new ControlLinks(loop, settings, this, events);
		this.permits = new RatePermits(loop, this.control::sendToLeader);
		this.crashes = new CrashDetector(loop, this::crashed);
		this.calls = new TargetCalls(loop, dialect, () -> true);
		this.relayLog = new RelayLog(events);
	}

	/**
	 * Starts an entry instance.
	 * @param loop the event loop
	 * @param settings the settings
	 * @param dialect the request and response formats of the platform
	 * @param events the writer of log events and metrics
	 * @return the started instance
	 * @throws IOException if a listen address can't be bound
	 */
	public static EntryNode start(EventLoop loop, EntrySettings settings, PlatformDialect dialect, EventWriter events)
			throws IOException {
		EntryNode node = new EntryNode(loop, settings, dialect, events);
		node.callerServer = HttpServer.start(loop, settings.listen(), node::limits, node::handle, node.requestMemory);
		node.callerServer.onBodyRefused(node::bodyRefused);
		node.callerServer.closeConnectionsWhile(node::yieldsToOthers);
		HttpServer.start(loop, settings.readiness(), node::readinessLimits, node::readiness);
		node.control.start();
		node.addGauges(events.metrics());
		loop.repeat(STALE_CHECK_INTERVAL_NANOS, node::closeStaleConnections);
		loop.schedule(0, node::warmUp);
		return node;
	}

	/**
	 * Adds control replicas to those already known.
	 * @param seeds the IP addresses of known control replicas
	 */
	public void addSeeds(List<String> seeds) {
		this.control.addReplicas(seeds);
	}

	/**
	 * Starts a graceful shutdown: drains the connections of callers, then stops the event
	 * loop.
	 */
	public void stop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.events.log(NodeEvent.STOPPING, "in-flight", this.callerServer.inFlight(), "connections",
				this.callerServer.connections());
		this.callerServer.drain();
		long now = System.nanoTime();
		this.lastDrainNanos = now + MIN_DRAIN_NANOS;
		this.breakOffNanos = now + (long) (this.settings.graceNanos() * GRACE_FRACTION);
		this.latestStopNanos = now + (long) (this.settings.graceNanos() * WRITE_GRACE_FRACTION);
		long lateDeadlines = Math.min(MIN_DRAIN_NANOS, (long) ((this.breakOffNanos - now) * LATE_DEADLINE_FRACTION));
		this.noLateDeadlinesNanos = now + lateDeadlines;
		this.loop.schedule(lateDeadlines, this::refuseUnfinishable);
		this.loop.schedule(this.breakOffNanos - now, this::breakOff);
		awaitDrained();
		refuseUnfinishable();
	}

	private void warmUp() {
		try {
			LinkWarmup.entryMessages();
			this.dialect.warmUp();
			new EntryView(this.loop, this.dialect).apply(LinkWarmup.sampleView(), System.nanoTime());
		}
		catch (CodecException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "warm up", "reason", ex.getMessage());
		}
	}

	private void addGauges(NodeMetrics metrics) {
		metrics.gauge("requests_in_flight", () -> this.callerServer.inFlight());
		metrics.gauge("caller_connections", () -> this.callerServer.connections());
		metrics.gauge("config_version", () -> this.view.configVersion());
		metrics.gauge("view_sequence", () -> this.view.sequence());
		metrics.gauge("control_silent_millis", () -> leaderContactAgeMillis(System.nanoTime()));
		metrics.gauge("targets", () -> this.view.targetCount());
		metrics.gauge("targets_cold", () -> this.view.coldTargetCount(System.nanoTime()));
		metrics.gauge("target_connections_opened", () -> this.view.connectionsOpened());
		metrics.gauge("unfinished_answer_bytes", () -> this.view.unfinishedAnswerBytes());
		metrics.gauge("request_body_bytes", () -> this.requestMemory.reservedBytes());
		metrics.gauge("request_bodies_refused", () -> this.requestMemory.refusedBodies());
		metrics.gauge("newest_config_version", () -> this.view.newestConfigVersion());
		metrics.gauge("not_following_millis",
				() -> lagReason(System.nanoTime()).isPresent() ? this.lag.ageMillis(System.nanoTime()) : 0);
		metrics.gauge("requests_waiting_for_owner", () -> this.waitingForOwner.size());
	}

	private void awaitDrained() {
		long now = System.nanoTime();
		boolean idle = this.callerServer.inFlight() == 0;
		if ((now - this.lastDrainNanos >= 0 && idle) || now - this.latestStopNanos >= 0) {
			this.loop.stop();
		}
		else {
			this.loop.schedule(DRAIN_CHECK_INTERVAL_NANOS, this::awaitDrained);
		}
	}

	private void refuseUnfinishable() {
		List.copyOf(this.executions).forEach(RequestExecution::refuseIfProcessStopsBefore);
	}

	private void breakOff() {
		List.copyOf(this.executions).forEach(RequestExecution::breakOff);
	}

	// Returns whether the planned stop might break off a request that isn't sent yet. One
	// that must not be repeated is never sent if this is possible.
	boolean stopsBefore(long deadlineNanos, boolean repeatable, long now) {
		boolean strict = !repeatable || now - this.noLateDeadlinesNanos >= 0;
		return this.stopping && strict && deadlineNanos - this.breakOffNanos > 0;
	}

	private void closeStaleConnections() {
		this.view.allTargets().forEach((target) -> target.connections().closeExpired());
	}

	private HttpLimits limits() {
		CallerLimits limits = this.view.config().map(TrafficConfig::limits).orElse(CallerLimits.DEFAULT);
		return new HttpLimits(limits.maxHeaderBytes(), limits.maxBodyBytes(),
				limits.headerTimeoutMillis() * MILLISECOND, limits.idleTimeoutMillis() * MILLISECOND);
	}

	// Readiness probes have no body.
	private HttpLimits readinessLimits() {
		HttpLimits limits = limits();
		return new HttpLimits(limits.maxHeaderBytes(), 0, limits.headerTimeoutNanos(), limits.idleTimeoutNanos());
	}

	private void readiness(HttpExchange exchange) {
		boolean ready = !this.stopping && this.view.config().isPresent() && !yieldsToOthers();
		exchange.respond(
				HttpResponse.empty(this.dialect.isReadinessRequest(exchange.request()) ? (ready ? 200 : 503) : 404));
	}

	private void bodyRefused(String target, List<Header> headers, long bytes) {
		this.events.metrics().count("requests", Refusal.BODY_MEMORY.name());
		this.events.log(NodeEvent.REQUEST_REFUSED, "request",
				this.dialect.requestFields(new HttpRequest("", target, headers, new byte[0])).id().orElse(""), "reason",
				Refusal.BODY_MEMORY, "status", Refusal.BODY_MEMORY.status(), "bytes", bytes, "bodies-in-memory",
				this.requestMemory.reservedBytes());
	}

	private void handle(HttpExchange exchange) {
		RequestExecution execution = new RequestExecution(this, exchange);
		this.executions.add(execution);
		execution.start();
	}

	@Override
	public LinkMessage.EntryHello hello() {
		return new LinkMessage.EntryHello(this.settings.instance(), this.view.configVersion());
	}

	@Override
	public LinkMessage.Report report() {
		long now = System.nanoTime();
		checkLag(now);
		List<TargetUse> targets = new ArrayList<>();
		this.view.allTargets().forEach((target) -> {
			TargetUse usage = target.drainUsage();
			if (usage.answers() > 0) {
				targets.add(usage);
			}
		});
		List<KeyUse> keys = new ArrayList<>();
		this.keyUseMillis.forEach((service, millisByKey) -> millisByKey
			.forEach((key, millis) -> keys.add(new KeyUse(service, key, millis))));
		this.keyUseMillis.clear();
		this.unacknowledgedBytes = 0;
		return new LinkMessage.Report(this.settings.instance(), this.view.term(), this.view.sequence(),
				new EntryReport(targets, keys, this.observations.drainUnreported(now), leavingTargets()),
				Optional.of(now / MILLISECOND), Optional.of(this.view.configVersion()), lagReason(now).map(Enum::name));
	}

	@Override
	public void leaderHeard(Link link) {
		long now = System.nanoTime();
		this.view.leaderHeard(this.control.leaderContactAgeNanos(now));
		if (link == this.currentViewLink) {
			this.lag.ended(LagReason.VIEW_MISSING);
		}
		else {
			this.lag.viewOwed(this.control.leaderContactAgeNanos(now), now);
		}
	}

	@Override
	public void followedByAny(boolean any) {
		this.lag.followedByAny(any);
	}

	private Optional<LagReason> lagReason(long now) {
		return this.lag.reason(this.control.leaderContactAgeNanos(now), now);
	}

	// Logs that this instance has stopped or resumed following.
	private void checkLag(long now) {
		Optional<LagReason> current = lagReason(now);
		if (!current.equals(this.loggedLag)) {
			this.loggedLag = current;
			this.events.log(NodeEvent.FOLLOWING_CHANGED, "follows", current.isEmpty(), "reason",
					current.map(Enum::name).orElse(""), "millis", this.lag.ageMillis(now), "config",
					this.view.configVersion(), "newest-config", this.view.newestConfigVersion(), "term",
					this.view.term(), "view", this.view.sequence());
		}
	}

	// Returns whether requests are refused, since other instances follow the leader and
	// this one doesn't.
	boolean refusesAsNotFollowing(long now) {
		return this.lag.refuses(this.control.leaderContactAgeNanos(now), now);
	}

	private boolean yieldsToOthers() {
		long now = System.nanoTime();
		return this.lag.yieldsToOthers(this.control.leaderContactAgeNanos(now), now);
	}

	// Reported until the leader knows, since the report to a former leader may be lost.
	private List<Owner> leavingTargets() {
		List<Owner> leaving = new ArrayList<>();
		this.view.allTargets().forEach((target) -> {
			if (target.availability().leaving() && target.view().usable()) {
				leaving.add(new Owner(target.name(), target.view().born()));
			}
		});
		return leaving;
	}

	@Override
	public void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.View update) {
			apply(link, update.view());
		}
		else if (message instanceof LinkMessage.RelayCall relay) {
			relay(link, relay);
		}
		else if (message instanceof LinkMessage.PermitReply reply) {
			this.permits.replied(reply);
		}
	}

	// A leader whose process was suspended may resume a round of grants after another
	// leader has been elected. If this instance has applied a view of the newer term,
	// it doesn't relay calls of the older one. A call that a partition held up isn't
	// relayed either: by now the keys may have another owner.
	private void relay(Link link, LinkMessage.RelayCall relay) {
		long leftMillis = relay.notAfterMillis()
			.map((end) -> end - System.nanoTime() / MILLISECOND)
			.orElse(TargetCalls.MAX_QUEUED_MILLIS);
		if (relay.term() < this.view.term() || leftMillis < 0) {
			link.send(new LinkMessage.RelayReply(relay.number(), GrantReply.NOT_SENT));
			this.relayLog.refused(relay, serviceOf(relay), this.view.term(), leftMillis);
			return;
		}
		long receivedNanos = System.nanoTime();
		this.calls.send(relay.address(), relay.call(), leftMillis, (reply) -> {
			link.send(new LinkMessage.RelayReply(relay.number(), reply));
			this.relayLog.returned(relay, serviceOf(relay), reply, System.nanoTime() - receivedNanos);
		});
	}

	// Returns the service of the call's target, empty if the view doesn't contain it.
	private String serviceOf(LinkMessage.RelayCall relay) {
		return this.view.target(relay.call().target()).map((target) -> target.view().service()).orElse("");
	}

	private void apply(Link link, FleetView update) {
		long now = System.nanoTime();
		EntryView.Outcome outcome = tryApply(link, update, now);
		if (update.document().isPresent() || outcome != EntryView.Outcome.TAKEN) {
			this.events.log(NodeEvent.VIEW_APPLIED, "taken", outcome == EntryView.Outcome.TAKEN, "outcome", outcome,
					"term", update.term(), "sequence", update.sequence(), "base", update.base(), "config",
					update.configVersion());
		}
		if (outcome == EntryView.Outcome.INCOMPLETE) {
			this.lag.began(LagReason.VIEW_MISSING, now);
			// The leader sends a full view first on a new link.
			link.close();
		}
		else if (update.term() == this.view.term()) {
			this.lag.ended(LagReason.VIEW_MISSING);
			this.currentViewLink = link;
		}
		if (outcome == EntryView.Outcome.TAKEN) {
			viewApplied(update);
		}
	}

	private EntryView.Outcome tryApply(Link link, FleetView update, long now) {
		try {
			return this.view.apply(update, now);
		}
		catch (RuntimeException ex) {
			this.lag.began(LagReason.VIEW_MISSING, now);
			link.close();
			throw ex;
		}
	}

	private void viewApplied(FleetView update) {
		long now = System.nanoTime();
		if (this.view.configOutdated()) {
			this.lag.began(LagReason.CONFIG_UNREADABLE, now);
		}
		else {
			this.lag.ended(LagReason.CONFIG_UNREADABLE);
		}
		checkLag(now);
		this.unacknowledgedBytes += update.estimatedBytes();
		skipped(this.view.skipped());
		logColdTargets(now);
		skipped(receivedObservations(update, now));
		if (update.full()) {
			this.observations.leaderChanged();
		}
		this.retryBudgets.values().forEach((budget) -> budget.limitUnusedRetries(additionalRetries()));
		if (update.document().isPresent() || this.unacknowledgedBytes >= ViewFlowControl.ACKNOWLEDGE_BYTES) {
			this.control.reportNow();
		}
		resumeWaiting();
	}

	private void logColdTargets(long now) {
		this.view.coldTargets()
			.stream()
			.limit(MAX_LOGGED_COLD_TARGETS)
			.forEach((target) -> this.events.log(NodeEvent.TARGET_COLD, "target", target.name(), "born",
					target.view().born(), "usable", target.view().usable(), "cold-left",
					target.coldPeriod().leftMillis(now), "cold-source", target.coldPeriod().source(), "term",
					this.view.term(), "view", this.view.sequence(), "cold-targets", this.view.coldTargets().size()));
	}

	private List<SkippedElement> receivedObservations(FleetView update, long now) {
		List<SkippedElement> failed = new ArrayList<>();
		update.observations().forEach((observation) -> {
			try {
				this.observations.received(List.of(observation), now);
			}
			catch (RuntimeException ex) {
				failed.add(SkippedElement.of(SkippedElement.Kind.OBSERVATION, observation.toString(), ex));
			}
		});
		return failed;
	}

	private void skipped(List<SkippedElement> elements) {
		elements.forEach((element) -> this.events.metrics().count("view_elements_skipped", element.kind().name()));
		elements.stream()
			.limit(MAX_LOGGED_ELEMENTS)
			.forEach((element) -> this.events.log(NodeEvent.VIEW_ELEMENT_SKIPPED, "kind", element.kind(), "name",
					element.name(), "reason", element.reason(), "term", this.view.term(), "view", this.view.sequence(),
					"skipped", elements.size()));
	}

	// A request that fails here gets its response at its deadline.
	private void resumeWaiting() {
		List<RequestExecution> resumed = List.copyOf(this.waitingForOwner);
		this.waitingForOwner.clear();
		resumed.forEach((execution) -> {
			try {
				execution.retryAfterViewChange();
			}
			catch (RuntimeException ex) {
				this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "resume request", "request",
						execution.requestId(), "failure", ex);
			}
		});
	}

	EventLoop loop() {
		return this.loop;
	}

	PlatformDialect dialect() {
		return this.dialect;
	}

	EventWriter events() {
		return this.events;
	}

	EntryView view() {
		return this.view;
	}

	Admission admission() {
		return this.admission;
	}

	RatePermits permits() {
		return this.permits;
	}

	CrashDetector crashes() {
		return this.crashes;
	}

	CrashSuspects suspects() {
		return this.suspects;
	}

	private void crashed(String target, Set<String> digests) {
		long now = System.nanoTime();
		digests.forEach((digest) -> {
			int count = this.suspects.crashed(digest, now);
			this.events.log(NodeEvent.TARGET_CRASHED, "target", target, "digest", digest, "crashes", count, "view",
					this.view.sequence(), "control-age", leaderContactAgeMillis(now));
		});
		this.control.reportNow();
	}

	// Records that a target ran a request and didn't crash.
	void answered(String digest, long now) {
		if (this.suspects.answered(digest, now)) {
			this.events.log(NodeEvent.SUSPICION_CLEARED, "digest", digest, "view", this.view.sequence());
			this.control.reportNow();
		}
	}

	// Records that a target says that it leaves, and reports it without delay.
	void targetLeaves(EntryTarget target, String request, long now) {
		if (target.availability().leaves(now)) {
			this.events.metrics().count("target_notices", "leaves");
			this.events.log(NodeEvent.TARGET_LEAVES, "target", target.name(), "born", target.view().born(), "request",
					request, "view", this.view.sequence(), "control-age", leaderContactAgeMillis(now));
			this.control.reportNow();
		}
	}

	// Records that a target wants no requests of this instance for some time.
	void targetPauses(EntryTarget target, long millis, String request, long now) {
		target.availability().pauses(millis, now);
		this.events.metrics().count("target_notices", "pauses");
		this.events.log(NodeEvent.TARGET_PAUSES, "target", target.name(), "millis", millis, "left",
				target.availability().pauseLeftMillis(now), "request", request, "view", this.view.sequence());
	}

	long drainNanos() {
		return this.settings.drainNanos();
	}

	// Returns the rate limit that a target states, if it states one.
	Optional<Observed> limit(EntryTarget target, long now) {
		return this.observations.latest(ObservationKind.TARGET_LIMIT, target.name(), now)
			.filter((limit) -> limit.value() != Observation.NONE);
	}

	// Records the limit stated in a response and reports a change to the leader without
	// delay. Returns whether it has changed.
	boolean limitStated(EntryTarget target, double perSecond, long now) {
		boolean changed = this.observations.observed(ObservationKind.TARGET_LIMIT, target.name(), perSecond, now);
		if (changed) {
			this.control.reportNow();
		}
		return changed;
	}

	// Returns whether the known owners of keys may be out of date.
	boolean leaderContactLost(long now) {
		return this.control.leaderContactAgeNanos(now) > MAX_LEADER_CONTACT_AGE_NANOS;
	}

	long leaderContactAgeMillis(long now) {
		return this.control.leaderContactAgeNanos(now) / MILLISECOND;
	}

	void ended(RequestExecution execution) {
		this.executions.remove(execution);
	}

	void waitForView(RequestExecution execution) {
		this.waitingForOwner.add(execution);
	}

	void stopWaiting(RequestExecution execution) {
		this.waitingForOwner.remove(execution);
	}

	// Returns this instance's share of the fleet-wide number of additional retries.
	private int additionalRetries() {
		return this.settings.additionalRetries() / this.view.limitSharingInstances();
	}

	RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service,
				(name) -> RetryBudgets.ratio(this.settings.retryRatio(), additionalRetries()));
	}

	// Returns the moving average of the response time of a route.
	double expectedMillis(Route route) {
		return this.routeMillis.getOrDefault(route.location(), INITIAL_ROUTE_MILLIS);
	}

	void recordResponseTime(Route route, double elapsedMillis) {
		double average = expectedMillis(route);
		this.routeMillis.put(route.location(), average + (elapsedMillis - average) * ROUTE_AVERAGE_WEIGHT);
	}

	void recordKeyUse(String service, int key, double millis) {
		this.keyUseMillis.computeIfAbsent(service, (name) -> new HashMap<>()).merge(key, (float) millis, Float::sum);
	}

	// Chooses the less loaded of two random candidates. Entry instances know
	// different loads; the random choice keeps them from all sending to the same
	// target.
	EntryTarget chooseTarget(List<EntryTarget> candidates, long now) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		EntryTarget first = candidates.get(random.nextInt(candidates.size()));
		EntryTarget second = candidates.get(random.nextInt(candidates.size()));
		return (expectedResponseMillis(first, now) <= expectedResponseMillis(second, now)) ? first : second;
	}

	private double expectedResponseMillis(EntryTarget target, long now) {
		return target.tracker().expectedResponseMillis(now);
	}

}
