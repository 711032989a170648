package org.redwingramp.daemon.internal.runtime;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

import org.redwingramp.core.control.EntryAgents;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.entry.EntryLoop;
import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.gate.GateFactory;
import org.redwingramp.daemon.internal.gate.GateReply;
import org.redwingramp.daemon.internal.gate.GateRequest;
import org.redwingramp.daemon.internal.http.AnnouncementHandler;
import org.redwingramp.daemon.internal.http.CallerHandler;
import org.redwingramp.daemon.internal.http.RequestLimiter;
import org.redwingramp.daemon.internal.metrics.CallerMetrics;
import org.redwingramp.daemon.internal.route.RequestRouter;
import org.redwingramp.daemon.internal.route.Routers;
import org.redwingramp.daemon.internal.route.ServicePolicies;
import org.redwingramp.records.Settings;
import org.redwingramp.wire.PeerLinks;

/**
 * The entry role of an instance. Thread safe after {@link #start}.
 */
final class EntryRole {

	private static final int CLIENT_THREADS = 8;

	private static final int MAX_CONNECTIONS_PER_TARGET = 1_024;

	private static final long CONNECT_MILLIS = 500;

	private static final long IDLE_MILLIS = 15_000;

	private static final int BACKGROUND_RING = 1_024;

	private final EntrySession session;

	private final GateFactory.Gates gates;

	private final EntryLoop loop;

	private final RequestLimiter limiter;

	private final HttpClient requests;

	private final HttpClient grants;

	private final ExecutorService heartbeats;

	private final ExecutorService background;

	private final ExecutorService hedges;

	private final Handler.Sequence handlers;

	private final Thread thread;

	private final String name;

	EntryRole(Settings settings, ControlClient control, PeerLinks links, MetricRegistry metrics, LongSupplier clock) {
		this.name = settings.instance().name();
		EntrySpec spec = new EntrySpec(this.name, settings.listen().internal().toString(),
				settings.instance().failureDomain(), UUID.randomUUID().toString());
		this.session = new EntrySession(EntryAgents.create(spec, settings.controlTiming()), clock);
		this.requests = client("target-requests");
		this.grants = client("target-grants");
		this.heartbeats = pool("heartbeat", 1, 4, 4);
		this.background = pool("ledger", 1, 2, BACKGROUND_RING);
		this.hedges = threads("hedge", settings.limits().maxConcurrentRequests() * 2);
		ServicePolicies policies = new ServicePolicies(clock);
		this.gates = new GateFactory(this.name, this.requests, this.grants, control, this.background,
				settings.controlTiming(), settings.limits().maxAnswerBodyBytes(), clock)
			.create(this.session, policies::slowTargets);
		this.loop = new EntryLoop(this.session, this.gates.grantManager(), control, this.heartbeats,
				settings.controlTiming(), clock);
		RequestRouter router = Routers.create(this.name, this.session, this.gates.service(), new PeerGateClient(links),
				policies, this.hedges, clock);
		this.limiter = new RequestLimiter(settings.limits().maxConcurrentRequests(), clock);
		this.handlers = new Handler.Sequence(new AnnouncementHandler(this.session, control, settings.targets()),
				new CallerHandler(router, this.limiter, settings.callerToken(), settings.limits().maxRequestBodyBytes(),
						new CallerMetrics(metrics), clock));
		metrics.gauge("requests.current", () -> this.limiter::inFlight);
		metrics.gauge("gates.in_flight", () -> this.gates.registry()::inFlight);
		metrics.gauge("gates.waiting", () -> this.gates.registry()::waiting);
		metrics.gauge("gates.open", () -> this.gates.registry()::size);
		metrics.gauge("view.version", () -> () -> this.session.view().version());
		this.thread = new Thread(this.loop, "entry-session");
	}

	Handler handler() {
		return this.handlers;
	}

	void start() throws Exception {
		this.requests.start();
		this.grants.start();
		this.thread.start();
	}

	// Serves a request that another instance forwarded.
	GateReply serve(GateRequest request) {
		return this.gates.service().serve(request, this.session.view(), new CompletableFuture<>());
	}

	boolean ready() {
		return this.session.mayRoute();
	}

	RequestLimiter limiter() {
		return this.limiter;
	}

	/** Hands the gates over from now on. */
	void leave() {
		this.limiter.closeConnections();
		this.loop.leave();
	}

	// Returns whether no target has this instance as its gate.
	boolean handedOver() {
		return this.session.view().targetsOfGate(this.name).isEmpty();
	}

	void stop() throws Exception {
		this.loop.stop();
		this.thread.join(TimeUnit.SECONDS.toMillis(1));
		this.heartbeats.shutdownNow();
		this.background.shutdown();
		this.hedges.shutdownNow();
		this.requests.stop();
		this.grants.stop();
	}

	private static HttpClient client(String name) {
		ClientConnector connector = new ClientConnector();
		connector.setSelectors(1);
		QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 2);
		threads.setName(name);
		connector.setExecutor(threads);
		HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
		client.setFollowRedirects(false);
		client.setHttpCookieStore(new HttpCookieStore.Empty());
		client.setUserAgentField(null);
		client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
		client.setConnectTimeout(CONNECT_MILLIS);
		client.setIdleTimeout(IDLE_MILLIS);
		return client;
	}

	private static ExecutorService pool(String name, int core, int most, int ring) {
		return new ThreadPoolExecutor(core, most, 30, TimeUnit.SECONDS, new LinkedBlockingQueue<>(ring),
				(task) -> new Thread(task, name));
	}

	private static ExecutorService threads(String name, int most) {
		return new ThreadPoolExecutor(0, most, 30, TimeUnit.SECONDS, new SynchronousQueue<>(),
				(task) -> new Thread(task, name), new ThreadPoolExecutor.CallerRunsPolicy());
	}

}
