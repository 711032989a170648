package org.redwingramp.node.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.redwingramp.core.dispatch.Admission;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.EntryReport.KeyUse;
import org.redwingramp.core.fleet.EntryReport.TargetUse;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.ViewFlowControl;
import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.routing.RetryBudgets;
import org.redwingramp.core.traffic.CallerLimits;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.InvalidDocumentException;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.control.TargetCalls;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.events.NodeMetrics;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpLimits;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.HttpServer;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.link.LinkWarmup;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.wire.CodecException;

/**
 * An entry instance. Not thread safe; it belongs to the loop's thread.
 */
public final class EntryNode implements ControlLinks.Listener {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Without a control leader for this long, an owner may have lost its keys although a
	 * late grant still holds them. The longest hold that the platform allows plus a
	 * margin.
	 */
	private static final long OUT_OF_TOUCH_NANOS = 12_000 * MILLISECOND;

	/**
	 * After the signal to stop the platform still sends connections for two questions.
	 */
	private static final long LINGER_NANOS = 2600 * MILLISECOND;

	private static final long DRAIN_CHECK_NANOS = 50 * MILLISECOND;

	private static final long STALE_CHECK_NANOS = 1000 * MILLISECOND;

	/** The part of the grace period after which an unfinished request is given up. */
	private static final double GRACE_PART = 0.95;

	/** The weight of a new answer in the moving average of a route's time. */
	private static final double ROUTE_WEIGHT = 0.03;

	private static final double FIRST_ROUTE_MILLIS = 100;

	private final EventLoop loop;

	private final EntrySettings settings;

	private final PlatformDialect dialect;

	private final EventWriter events;

	private final EntryView view;

	private final ControlLinks control;

	private final TargetCalls calls;

	private final Admission admission = new Admission();

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final Map<String, Double> routeMillis = new HashMap<>();

	private final Map<String, Map<Integer, Float>> keyUse = new HashMap<>();

	private final Set<RequestRun> waiting = new LinkedHashSet<>();

	private HttpServer callers;

	private boolean stopping;

	private long unacknowledgedBytes;

	private EntryNode(EventLoop loop, EntrySettings settings, PlatformDialect dialect, EventWriter events) {
		this.loop = loop;
		this.settings = settings;
		this.dialect = dialect;
		this.events = events;
		this.view = new EntryView(loop, dialect);
		this.control = new ControlLinks(loop, settings, this, events);
		this.calls = new TargetCalls(loop, dialect, () -> true);
	}

	/**
	 * Starts an entry instance.
	 * @param loop the event loop
	 * @param settings the settings
	 * @param dialect the platform's formats
	 * @param events the log
	 * @return the instance
	 * @throws IOException if an address can't be used
	 */
	public static EntryNode start(EventLoop loop, EntrySettings settings, PlatformDialect dialect, EventWriter events)
			throws IOException {
		EntryNode node = new EntryNode(loop, settings, dialect, events);
		node.callers = HttpServer.start(loop, settings.listen(), node::limits, node::handle);
		HttpServer.start(loop, settings.readiness(), node::limits, node::readiness);
		node.control.start();
		node.addGauges(events.metrics());
		loop.repeat(STALE_CHECK_NANOS, node::dropStale);
		loop.schedule(0, node::warmUp);
		return node;
	}

	/**
	 * Takes over new seeds.
	 * @param seeds the IP addresses of known control replicas
	 */
	public void seeds(List<String> seeds) {
		this.control.learn(seeds);
	}

	/**
	 * Begins a graceful shutdown, which ends with the loop being stopped.
	 */
	public void stop() {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.events.log(NodeEvent.STOPPING, "in-flight", this.callers.inFlight(), "connections",
				this.callers.connections());
		this.callers.drain();
		long now = System.nanoTime();
		awaitIdle(now + LINGER_NANOS, now + (long) (this.settings.graceNanos() * GRACE_PART));
	}

	private void warmUp() {
		try {
			LinkWarmup.entryMessages();
			this.dialect.warmUp();
			new EntryView(this.loop, this.dialect).apply(LinkWarmup.sampleView(), System.nanoTime());
		}
		catch (CodecException | InvalidDocumentException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "warm up", "reason", ex.getMessage());
		}
	}

	private void addGauges(NodeMetrics metrics) {
		metrics.gauge("requests_in_flight", () -> this.callers.inFlight());
		metrics.gauge("caller_connections", () -> this.callers.connections());
		metrics.gauge("config_version", () -> this.view.configVersion());
		metrics.gauge("view_sequence", () -> this.view.sequence());
		metrics.gauge("control_silent_millis", () -> controlSilentMillis(System.nanoTime()));
		metrics.gauge("targets", () -> this.view.targetCount());
		metrics.gauge("target_connections_opened", () -> this.view.connectionsOpened());
		metrics.gauge("unfinished_answer_bytes", () -> this.view.unfinishedAnswerBytes());
		metrics.gauge("requests_waiting_for_owner", () -> this.waiting.size());
	}

	private void awaitIdle(long lingerUntil, long last) {
		long now = System.nanoTime();
		boolean idle = this.callers.inFlight() == 0;
		if ((now - lingerUntil >= 0 && idle) || now - last >= 0) {
			this.loop.stop();
		}
		else {
			this.loop.schedule(DRAIN_CHECK_NANOS, () -> awaitIdle(lingerUntil, last));
		}
	}

	private void dropStale() {
		this.view.allTargets().forEach((target) -> target.connections().dropStale());
	}

	private HttpLimits limits() {
		CallerLimits limits = this.view.config().map(TrafficConfig::limits).orElse(CallerLimits.DEFAULT);
		return new HttpLimits(limits.maxHeaderBytes(), limits.maxBodyBytes(),
				limits.headerTimeoutMillis() * MILLISECOND, limits.idleTimeoutMillis() * MILLISECOND);
	}

	private void readiness(HttpExchange exchange) {
		boolean ready = !this.stopping && this.view.config().isPresent();
		exchange
			.respond(HttpResponse.empty(this.dialect.asksReadiness(exchange.request()) ? (ready ? 200 : 503) : 404));
	}

	private void handle(HttpExchange exchange) {
		new RequestRun(this, exchange).start();
	}

	@Override
	public LinkMessage.EntryHello hello() {
		return new LinkMessage.EntryHello(this.settings.instance(), this.view.configVersion());
	}

	@Override
	public LinkMessage.Report report() {
		List<TargetUse> targets = new ArrayList<>();
		this.view.allTargets().forEach((target) -> {
			TargetUse use = target.takeUse();
			if (use.answers() > 0) {
				targets.add(use);
			}
		});
		List<KeyUse> keys = new ArrayList<>();
		this.keyUse
			.forEach((service, work) -> work.forEach((key, millis) -> keys.add(new KeyUse(service, key, millis))));
		this.keyUse.clear();
		this.unacknowledgedBytes = 0;
		return new LinkMessage.Report(this.settings.instance(), this.view.term(), this.view.sequence(),
				new EntryReport(targets, keys));
	}

	@Override
	public void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.View update) {
			apply(link, update.view());
		}
		else if (message instanceof LinkMessage.RelayCall relay) {
			relay(link, relay);
		}
	}

	// A leader that was frozen may finish a round in which others have taken its place.
	// This instance has heard of them, so it doesn't pass such a call on.
	private void relay(Link link, LinkMessage.RelayCall relay) {
		if (relay.term() < this.view.term()) {
			this.events.log(NodeEvent.RELAY_REFUSED, "address", relay.address(), "fence", relay.call().fence(), "term",
					relay.term(), "newer-term", this.view.term());
			link.send(new LinkMessage.RelayReply(relay.number(), GrantReply.NOT_SENT));
			return;
		}
		this.calls.send(relay.address(), relay.call(),
				(reply) -> link.send(new LinkMessage.RelayReply(relay.number(), reply)));
	}

	private void apply(Link link, FleetView update) {
		try {
			EntryView.Outcome outcome = this.view.apply(update, System.nanoTime());
			if (update.document().isPresent() || outcome != EntryView.Outcome.TAKEN) {
				this.events.log(NodeEvent.VIEW_APPLIED, "taken", outcome == EntryView.Outcome.TAKEN, "outcome", outcome,
						"term", update.term(), "sequence", update.sequence(), "base", update.base(), "config",
						update.configVersion());
			}
			switch (outcome) {
				case TAKEN -> taken(update);
				case OUTDATED -> {
				}
				// A new link begins with a full view.
				case INCOMPLETE -> link.close();
			}
		}
		catch (InvalidDocumentException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "read configuration", "reason", ex.getMessage());
		}
	}

	private void taken(FleetView update) {
		this.unacknowledgedBytes += update.estimatedBytes();
		this.budgets.values().forEach((budget) -> budget.limitUnusedRetries(retryMinimum()));
		if (update.document().isPresent() || this.unacknowledgedBytes >= ViewFlowControl.ACKNOWLEDGE_BYTES) {
			this.control.reportNow();
		}
		List<RequestRun> again = List.copyOf(this.waiting);
		this.waiting.clear();
		again.forEach(RequestRun::retryAfterViewChange);
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

	boolean outOfTouch(long now) {
		return this.control.silentNanos(now) > OUT_OF_TOUCH_NANOS;
	}

	long controlSilentMillis(long now) {
		return this.control.silentNanos(now) / MILLISECOND;
	}

	void waitForView(RequestRun run) {
		this.waiting.add(run);
	}

	void stopWaiting(RequestRun run) {
		this.waiting.remove(run);
	}

	private int retryMinimum() {
		return this.settings.retryMinimum() / this.view.sharers();
	}

	RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service,
				(name) -> RetryBudgets.ratio(this.settings.retryShare(), retryMinimum()));
	}

	double expectedMillis(Route route) {
		return this.routeMillis.getOrDefault(route.name(), FIRST_ROUTE_MILLIS);
	}

	void answered(Route route, double elapsedMillis) {
		double known = expectedMillis(route);
		this.routeMillis.put(route.name(), known + (elapsedMillis - known) * ROUTE_WEIGHT);
	}

	void keyUsed(String service, int key, double millis) {
		this.keyUse.computeIfAbsent(service, (name) -> new HashMap<>()).merge(key, (float) millis, Float::sum);
	}

	// Picks the better of two targets drawn at random, so that instances which know
	// different loads don't all choose the same target.
	EntryTarget better(List<EntryTarget> candidates, long now) {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		EntryTarget first = candidates.get(random.nextInt(candidates.size()));
		EntryTarget second = candidates.get(random.nextInt(candidates.size()));
		return (expectedResponseMillis(first, now) <= expectedResponseMillis(second, now)) ? first : second;
	}

	private double expectedResponseMillis(EntryTarget target, long now) {
		return target.tracker().expectedResponseMillis(now);
	}

}
