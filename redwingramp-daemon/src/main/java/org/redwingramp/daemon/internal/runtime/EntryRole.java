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
 * The entry role of an instance: routes requests of callers and holds gates to targets.
 * Thread safe after {@link #start}.
 */
final class EntryRole {

	private static final int MAX_CLIENT_THREADS = 8;

	private static final int MAX_CONNECTIONS_PER_TARGET = 1_024;

	private static final long CONNECT_TIMEOUT_MILLIS = 500;

	private static final long IDLE_TIMEOUT_MILLIS = 15_000;

	private static final int LEDGER_QUEUE_CAPACITY = 1_024;

	private final EntrySession session;

	private final GateFactory.Gates gates;

	private final EntryLoop loop;

	private final RequestLimiter limiter;

	private final HttpClient requestClient;

	private final HttpClient grantClient;

	private final ExecutorService heartbeatExecutor;

	private final ExecutorService ledgerExecutor;

	private final ExecutorService hedgeExecutor;

	private final Handler.Sequence handlers;

	private final Thread thread;

	private final String name;

	EntryRole(Settings settings, ControlClient control, PeerLinks links, MetricRegistry metrics, LongSupplier clock) {
		this.name = settings.instance().name();
		EntrySpec spec = new EntrySpec(this.name, settings.listen().internal().toString(),
				settings.instance().failureDomain(), UUID.randomUUID().toString());
		this.session = new EntrySession(EntryAgents.create(spec, settings.controlTiming()), clock);
		this.requestClient = createClient("target-requests");
		this.grantClient = createClient("target-grants");
		this.heartbeatExecutor = queueingPool("heartbeat", 1, 4, 4);
		this.ledgerExecutor = queueingPool("ledger", 1, 2, LEDGER_QUEUE_CAPACITY);
		this.hedgeExecutor = unqueuedPool("hedge", settings.limits().maxConcurrentRequests() * 2);
		ServicePolicies policies = new ServicePolicies(clock);
		this.gates = new GateFactory(this.name, this.requestClient, this.grantClient, control, this.ledgerExecutor,
				settings.controlTiming(), settings.limits().maxAnswerBodyBytes(), clock)
			.create(this.session, policies::slowTargets);
		this.loop = new EntryLoop(this.session, this.gates.grantManager(), control, this.heartbeatExecutor,
				settings.controlTiming(), clock);
		RequestRouter router = Routers.create(this.name, this.session, this.gates.service(), new PeerGateClient(links),
				policies, this.hedgeExecutor, clock);
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
		this.requestClient.start();
		this.grantClient.start();
		this.thread.start();
	}

	// Serves a request that another entry instance forwarded to a gate of this one.
	GateReply serve(GateRequest request) {
		return this.gates.service().serve(request, this.session.view(), new CompletableFuture<>());
	}

	boolean ready() {
		return this.session.mayRoute();
	}

	RequestLimiter limiter() {
		return this.limiter;
	}

	/** Asks callers to close their connections and starts to hand over all gates. */
	void startHandover() {
		this.limiter.closeConnections();
		this.loop.startHandover();
	}

	// Returns whether the view assigns no target's gate to this instance any more.
	boolean handedOver() {
		return this.session.view().targetsOfGate(this.name).isEmpty();
	}

	void stop() throws Exception {
		this.loop.stop();
		this.thread.join(TimeUnit.SECONDS.toMillis(1));
		this.heartbeatExecutor.shutdownNow();
		this.ledgerExecutor.shutdown();
		this.hedgeExecutor.shutdownNow();
		this.requestClient.stop();
		this.grantClient.stop();
	}

	private static HttpClient createClient(String name) {
		ClientConnector connector = new ClientConnector();
		connector.setSelectors(1);
		QueuedThreadPool threads = new QueuedThreadPool(MAX_CLIENT_THREADS, 2);
		threads.setName(name);
		connector.setExecutor(threads);
		HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
		client.setFollowRedirects(false);
		client.setHttpCookieStore(new HttpCookieStore.Empty());
		client.setUserAgentField(null);
		client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
		client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
		return client;
	}

	private static ExecutorService queueingPool(String name, int coreThreads, int maxThreads, int queueCapacity) {
		return new ThreadPoolExecutor(coreThreads, maxThreads, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(queueCapacity), (task) -> new Thread(task, name));
	}

	private static ExecutorService unqueuedPool(String name, int maxThreads) {
		return new ThreadPoolExecutor(0, maxThreads, 30, TimeUnit.SECONDS, new SynchronousQueue<>(),
				(task) -> new Thread(task, name), new ThreadPoolExecutor.CallerRunsPolicy());
	}

}
