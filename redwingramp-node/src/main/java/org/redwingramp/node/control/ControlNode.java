package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import org.redwingramp.core.consensus.Replicas;
import org.redwingramp.core.dispatch.RateReservations.Reservation;
import org.redwingramp.core.fleet.DomainReturns;
import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.core.fleet.FleetController;
import org.redwingramp.core.fleet.FleetOutput;
import org.redwingramp.core.fleet.FleetResult;
import org.redwingramp.core.fleet.FleetState;
import org.redwingramp.core.fleet.FleetTarget;
import org.redwingramp.core.fleet.TargetHeartbeat;
import org.redwingramp.core.fleet.ViewState;
import org.redwingramp.core.ownership.LeaseSummary;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.ownership.RangeLease.Phase;
import org.redwingramp.core.traffic.ConfigValidator;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.node.api.ControlAnswer;
import org.redwingramp.node.api.ControlAnswer.Kind;
import org.redwingramp.node.api.ControlRequest;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.InvalidDocumentException;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.events.NodeMetrics;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpLimits;
import org.redwingramp.node.http.HttpServer;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.link.PackedDocument;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.storage.StorageException;

/**
 * A control replica. It takes part in the consensus on the fleet's state. While it leads,
 * it executes the calls of targets and operators, runs the controller and sends the view
 * to the entry instances; otherwise it redirects calls to the leader. Invariant: a change
 * is acknowledged only once it is committed. Not thread safe; confined to the event
 * loop's thread.
 */
public final class ControlNode {

	private static final long MILLISECOND = 1_000_000L;

	/** Interval between two rounds of the controller. */
	private static final long CONTROLLER_INTERVAL_NANOS = 50 * MILLISECOND;

	/**
	 * Time for which a replica doesn't act as leader after its process was suspended. By
	 * then it has received messages of the entry instances and the other replicas again.
	 */
	private static final long RESUME_DELAY_NANOS = 1200 * MILLISECOND;

	/** Interval between two checks for entry instances that are behind. */
	private static final long ENTRY_CHECK_INTERVAL_NANOS = 500 * MILLISECOND;

	/** Time after which a relayed call without a reply is given the outcome "unknown". */
	private static final long RELAY_TIMEOUT_NANOS = 1300 * MILLISECOND;

	/**
	 * Maximum time for which calls wait for a leader after the start of this replica.
	 * Callers time out after one second.
	 */
	private static final long MAX_LEADER_WAIT_NANOS = 700 * MILLISECOND;

	/** Interval between two checks for a leader while calls wait for it. */
	private static final long LEADER_POLL_INTERVAL_NANOS = 50 * MILLISECOND;

	/** Interval between two checks for keys while the reply to a heartbeat waits. */
	private static final long KEYS_POLL_INTERVAL_NANOS = 20 * MILLISECOND;

	/**
	 * Delay from the end of the wait for a leader until calls are accepted. In this time
	 * a new leader sends the entry instances their first view, before it executes calls.
	 */
	private static final long ACCEPT_DELAY_NANOS = 150 * MILLISECOND;

	/**
	 * Change of the offset between wall clock and monotonic clock from which the process
	 * is assumed to have been suspended.
	 */
	private static final long SUSPENSION_THRESHOLD_MILLIS = 400;

	/**
	 * Maximum size of a configuration, which is part of a command. The call may be
	 * larger, so that the refusal can state the reason.
	 */
	private static final int MAX_CONFIG_BYTES = Replicas.MAX_COMMAND_BYTES - 1024;

	/** Limits of the HTTP server for control calls. */
	private static final HttpLimits HTTP_LIMITS = new HttpLimits(16_384, 4 * 1024 * 1024, 3000 * MILLISECOND,
			15_000 * MILLISECOND);

	private final EventLoop loop;

	private final ControlSettings settings;

	private final PlatformDialect dialect;

	private final EventWriter events;

	private final ReplicaHost replica;

	private final TargetCalls calls;

	private final EntrySessions entries;

	private final LeaderViewSource viewSource = new LeaderViewSource();

	private final Set<String> failureDomains;

	private final DomainReturns domainReturns = new DomainReturns();

	private Optional<FleetController> controller = Optional.empty();

	// The calls of the present or last leadership.
	private LeaderCalls leaderCalls;

	// The term in which the controller was created.
	private long controllerTerm;

	private Optional<TrafficConfig> config = Optional.empty();

	private LinkMessage.LeaderInfo lastSentLeaderInfo = new LinkMessage.LeaderInfo("", false, List.of(),
			Optional.empty());

	private long lastClockOffsetMillis = clockOffsetMillis();

	private long suspendedUntilNanos = System.nanoTime();

	private ControlNode(EventLoop loop, ControlSettings settings, PlatformDialect dialect, EventWriter events,
			ExecutorService diskExecutor) throws StorageException {
		this.loop = loop;
		this.settings = settings;
		this.dialect = dialect;
		this.events = events;
		this.replica = new ReplicaHost(loop, settings, events, diskExecutor);
		this.calls = new TargetCalls(loop, dialect, this::mayAct);
		this.leaderCalls = new LeaderCalls(events.metrics());
		this.entries = new EntrySessions(loop, events);
		this.failureDomains = new HashSet<>(settings.failureDomains());
	}

	/**
	 * Starts a control replica.
	 * @param loop the event loop
	 * @param settings the settings
	 * @param dialect the platform's formats
	 * @param events the log
	 * @return the node
	 * @throws IOException if an address can't be bound
	 * @throws StorageException if the data folder can't be opened
	 */
	public static ControlNode start(EventLoop loop, ControlSettings settings, PlatformDialect dialect,
			EventWriter events) throws IOException, StorageException {
		return start(loop, settings, dialect, events, Executors.newSingleThreadExecutor((task) -> {
			Thread thread = new Thread(task, "disk");
			thread.setDaemon(true);
			return thread;
		}));
	}

	// Starts a control replica whose disk writes are run by the executor.
	static ControlNode start(EventLoop loop, ControlSettings settings, PlatformDialect dialect, EventWriter events,
			ExecutorService diskExecutor) throws IOException, StorageException {
		ControlNode node = new ControlNode(loop, settings, dialect, events, diskExecutor);
		loop.listen(new InetSocketAddress(settings.listen().getAddress(), settings.peerPort()),
				(tcp) -> Link.accepted(tcp, node::received, node::linkClosed));
		ServerSocketChannel calls = loop.bind(settings.listen());
		node.replica.start(node::applied);
		ControlWarmup.start(dialect, events);
		node.addGauges(events.metrics());
		node.awaitLeader(calls, System.nanoTime() + MAX_LEADER_WAIT_NANOS);
		loop.repeat(CONTROLLER_INTERVAL_NANOS, node::tick);
		loop.repeat(ENTRY_CHECK_INTERVAL_NANOS, () -> node.entries.checkLag(System.nanoTime()));
		loop.afterEachIteration(node::flush);
		return node;
	}

	/**
	 * Closes the links to the other replicas and the data folder.
	 * @throws IOException if a file can't be closed
	 */
	public void close() throws IOException {
		this.replica.close();
	}

	/**
	 * Adds control replicas to connect to. Replicas that are already known stay.
	 * @param seeds the IP addresses of the control replicas
	 */
	public void addSeeds(List<String> seeds) {
		this.replica.addPeers(seeds);
	}

	/**
	 * Adds failure domains whose targets are accepted. Those that are already known stay.
	 * @param added the names of the failure domains
	 */
	public void addFailureDomains(Set<String> added) {
		this.failureDomains.addAll(added);
		this.controller.ifPresent((activeController) -> activeController.failureDomains(this.failureDomains));
	}

	// Accepts calls of targets and operators only once a leader is known or the deadline
	// has passed. Earlier calls would have to be refused as unavailable, and the work for
	// these responses would delay the election.
	private void awaitLeader(ServerSocketChannel socket, long deadline) {
		if (this.replica.leader().isEmpty() && System.nanoTime() - deadline < 0) {
			this.loop.schedule(LEADER_POLL_INTERVAL_NANOS, () -> awaitLeader(socket, deadline));
		}
		else {
			this.loop.schedule(ACCEPT_DELAY_NANOS, () -> acceptCalls(socket));
		}
	}

	private void acceptCalls(ServerSocketChannel socket) {
		try {
			HttpServer.create(() -> HTTP_LIMITS, this::handle).accept(this.loop, socket);
		}
		catch (IOException ex) {
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "accept calls", "reason", ex.getMessage());
			this.loop.stop();
		}
	}

	private void addGauges(NodeMetrics metrics) {
		this.entries.addGauges(metrics);
		metrics.gauge("leading", () -> this.controller.isPresent() ? 1 : 0);
		metrics.gauge("term", () -> this.replica.term());
		metrics.gauge("log_bytes", () -> this.replica.logBytes());
		metrics.gauge("config_version", () -> this.replica.state().configVersion());
		metrics.gauge("targets", () -> this.replica.state().targets().size());
		metrics.gauge("leases", () -> this.controller.map(FleetController::leaseCount).orElse(0L));
		metrics.gauge("leases_not_serving", () -> this.controller.map(FleetController::unservedLeaseCount).orElse(0L));
		metrics.gauge("leases_unanswered", () -> leaseFigure(LeaseSummary::unanswered));
		metrics.gauge("leases_unanswered_millis_max",
				() -> TimeUnit.NANOSECONDS.toMillis(leaseFigure(LeaseSummary::oldestUnansweredNanos)));
		Stream.of(Phase.GRANT_PENDING, Phase.RELEASING, Phase.RELEASED, Phase.REFUSED)
			.forEach((phase) -> metrics.gauge(
					"leases_not_serving_in_phase{kind=\"" + phase.name().toLowerCase(Locale.ROOT) + "\"}",
					() -> leaseFigure((summary) -> summary.notServing().getOrDefault(phase, 0L))));
		metrics.gauge("calls_in_flight", () -> this.leaderCalls.inFlight(false) + this.leaderCalls.inFlight(true));
		metrics.gauge("highest_fence", () -> this.replica.state().highestFence());
	}

	// Returns a figure of the leases, 0 unless this replica leads.
	private long leaseFigure(ToLongFunction<LeaseSummary> figure) {
		return this.controller.map((leader) -> figure.applyAsLong(leader.leaseSummary(System.nanoTime()))).orElse(0L);
	}

	private void tick() {
		detectSuspension();
		updateLeadership();
		this.entries.closeUnresponsive(System.nanoTime());
		if (leading() && mayAct()) {
			this.controller.get().tick(System.nanoTime());
		}
	}

	// The monotonic clock doesn't count the time in which the process was suspended, so
	// the leader lease would seem valid although it has expired. This replica therefore
	// doesn't act until it has received messages of the others again.
	private void detectSuspension() {
		long offset = clockOffsetMillis();
		if (Math.abs(offset - this.lastClockOffsetMillis) > SUSPENSION_THRESHOLD_MILLIS) {
			this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "suspension-noticed", "millis",
					offset - this.lastClockOffsetMillis);
			this.suspendedUntilNanos = System.nanoTime() + RESUME_DELAY_NANOS;
		}
		this.lastClockOffsetMillis = offset;
	}

	// Returns whether this replica may execute calls and send grants as the leader.
	private boolean mayAct() {
		detectSuspension();
		return this.replica.mayAct() && System.nanoTime() - this.suspendedUntilNanos >= 0;
	}

	// Creates or discards the controller when this replica becomes or ceases to be
	// leader.
	private void updateLeadership() {
		if (this.controller.isPresent() && !leading()) {
			this.controller = Optional.empty();
			this.entries.stopLeading();
			this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "leadership-ended", "term", this.controllerTerm,
					"newest-term", this.replica.term(), "grants-in-flight", this.leaderCalls.inFlight(false),
					"releases-in-flight", this.leaderCalls.inFlight(true), "calls", this.leaderCalls.oldest());
		}
		if (this.controller.isEmpty() && this.replica.leads() && this.replica.upToDate()) {
			startLeading();
		}
		sendLeaderInfo();
	}

	// Returns whether the controller may act. After the end of its leadership it remains
	// until the next check, while this replica may know a later term already.
	private boolean leading() {
		return this.controller.isPresent() && this.replica.leads() && this.replica.term() == this.controllerTerm;
	}

	private void startLeading() {
		FleetState state = this.replica.state();
		this.controllerTerm = this.replica.term();
		this.leaderCalls = new LeaderCalls(this.events.metrics());
		long now = System.nanoTime();
		this.controller = Optional.of(new FleetController(state, new Output(), LeaseTiming.DEFAULT, now));
		long formerGrantsLeftMillis = this.controller.get().lastLeaseLeftMillis(now);
		this.controller.get().failureDomains(this.failureDomains);
		loadConfig();
		this.domainReturns.passTo(this.controller.get(), longestColdMillis(), now);
		// Entry instances refuse all requests until they have a view, so it is sent
		// before the controller's first round.
		this.entries.startLeading(this.controllerTerm);
		sendLeaderInfo();
		flush();
		this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "leadership-began", "term", this.replica.term(),
				"config", state.configVersion(), "targets", state.targets().size(), "leases",
				this.controller.get().leaseCount(), "former-grants-left", formerGrantsLeftMillis, "highest-fence",
				state.highestFence());
	}

	private void loadConfig() {
		FleetState state = this.replica.state();
		if (state.configVersion() == 0) {
			return;
		}
		try {
			this.config = Optional.of(this.dialect.config(state.document()));
			this.controller.ifPresent((activeController) -> activeController.services(this.config.get().services()));
		}
		catch (InvalidDocumentException ex) {
			// The document was validated before it was proposed, so this is a programming
			// error.
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "read configuration", "reason", ex.getMessage());
		}
	}

	// Sends the leader to the entry instances if it has changed since it was last sent.
	private void sendLeaderInfo() {
		LinkMessage.LeaderInfo info = leaderInfo();
		if (!info.equals(this.lastSentLeaderInfo)) {
			this.lastSentLeaderInfo = info;
			this.entries.broadcast(info);
		}
	}

	private LinkMessage.LeaderInfo leaderInfo() {
		return new LinkMessage.LeaderInfo(this.replica.leader().orElse(""), leading(), this.replica.replicaNames(),
				leading() ? this.entries.followed(System.nanoTime()) : Optional.empty());
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.EntryHello hello) {
			this.entries.helloReceived(link, hello);
			link.send(leaderInfo());
			openSession(link, hello.entry(), hello.configVersion());
		}
		else if (message instanceof LinkMessage.Report report) {
			report(link, report);
		}
		else if (message instanceof LinkMessage.PermitRequest request) {
			reservePermit(link, request);
		}
		else if (message instanceof LinkMessage.RelayReply reply) {
			this.entries.session(link).ifPresent((session) -> session.relayReplied(reply.number(), reply.reply()));
		}
		else {
			this.replica.received(message);
			if (message instanceof LinkMessage.ReplicaHello) {
				acknowledgeHello(link);
			}
		}
	}

	// The replica that opened a link detects that it works by the reply only. A replica
	// outside the group learns of the leader by this message only.
	private void acknowledgeHello(Link link) {
		link.send(this.replica.hello());
		if (leading()) {
			link.send(leaderInfo());
		}
	}

	// Opens a session for an entry instance if this replica leads.
	private void openSession(Link link, String entry, long configVersion) {
		if (leading()) {
			this.entries.openSession(link, entry, configVersion);
		}
	}

	private void report(Link link, LinkMessage.Report report) {
		openSession(link, report.entry(), 0);
		if (leading()) {
			long now = System.nanoTime();
			report.clockMillis()
				.ifPresent((millis) -> this.entries.session(link)
					.ifPresent((session) -> session.clockReported(millis, now)));
			this.entries.reportReceived(link, report, now);
		}
		link.send(leaderInfo());
		if (leading()) {
			this.controller.get().report(report.entry(), report.report(), System.nanoTime());
		}
	}

	// Without a reply, the entry instance sends the request within its own share of the
	// rate.
	private void reservePermit(Link link, LinkMessage.PermitRequest request) {
		if (!leading() || !mayAct()) {
			return;
		}
		Reservation reservation = this.controller.get()
			.reserve(request.target(), request.perSecond(), request.stated(), request.maxDelayMillis() * MILLISECOND,
					System.nanoTime());
		this.events.metrics().count("permits", reservation.granted() ? "granted" : "refused");
		link.send(new LinkMessage.PermitReply(request.number(), reservation.granted(),
				TimeUnit.NANOSECONDS.toMillis(reservation.delayNanos())));
	}

	private void linkClosed(Link link) {
		this.entries.linkClosed(link);
	}

	private void applied(FleetCommand command, FleetResult result) {
		long now = System.nanoTime();
		if (command instanceof FleetCommand.ReplaceConfig replace) {
			this.events.log(NodeEvent.COMMITTED, "command", "replace-config", "base", replace.base(), "version",
					replace.version(), "outcome", result.outcome(), "in-force", result.configVersion());
			loadConfig();
		}
		else if (this.controller.isPresent() && !(command instanceof FleetCommand.AssignKeys)) {
			// Assignments of keys are logged by the controller, which decides on them.
			this.events.log(NodeEvent.COMMITTED, "command", command.getClass().getSimpleName(), "details", command);
		}
		if (!this.replica.appliesStored()) {
			this.domainReturns.applied(command, now);
		}
		this.controller.ifPresent((activeController) -> {
			activeController.commandApplied(command, now);
			if (command instanceof FleetCommand.SetDomainOut change && !change.out()) {
				activeController.domainReturned(change.domain(), longestColdMillis(), now, now);
			}
		});
	}

	// Returns the longest cold period of all services, 0 without a configuration.
	private long longestColdMillis() {
		return this.config.stream()
			.flatMap((current) -> current.services().stream())
			.mapToLong(ServiceSpec::coldMillis)
			.max()
			.orElse(0);
	}

	// Sends the changes of this round of the event loop to the entry instances.
	private void flush() {
		if (leading()) {
			this.entries.publishView(this.viewSource, System.nanoTime());
		}
	}

	private void handle(HttpExchange exchange) {
		ControlRequest call = this.dialect.controlRequest(exchange.request());
		Consumer<ControlAnswer> reply = (answer) -> {
			logCall(call, answer, exchange);
			exchange.respond(this.dialect.controlResponse(call, answer, exchange.request()));
		};
		if (call instanceof ControlRequest.Unknown) {
			reply.accept(ControlAnswer.of(Kind.UNKNOWN_CALL, ""));
		}
		else if (call instanceof ControlRequest.Invalid invalid) {
			reply.accept(ControlAnswer.of(Kind.INVALID, invalid.reason()));
		}
		else if (leading() && mayAct()) {
			execute(call, reply);
		}
		else {
			reply.accept(redirectToLeader());
		}
	}

	private void logCall(ControlRequest call, ControlAnswer answer, HttpExchange exchange) {
		boolean routine = call instanceof ControlRequest.Heartbeat && answer.kind() == Kind.ACCEPTED;
		if (!routine) {
			this.events.log(NodeEvent.CONTROL_CALL, "call",
					exchange.request().method() + ' ' + exchange.request().target(), "answer", answer.kind(), "text",
					answer.text(), "millis", (System.nanoTime() - exchange.receivedNanos()) / MILLISECOND);
		}
	}

	private ControlAnswer redirectToLeader() {
		Optional<String> leader = this.replica.leader().filter((name) -> !name.equals(this.replica.name()));
		return leader.map((name) -> ControlAnswer.of(Kind.LEADER_IS, name + ':' + this.settings.listen().getPort()))
			.orElseGet(() -> ControlAnswer.of(Kind.UNAVAILABLE, "no leader is known"));
	}

	private void execute(ControlRequest call, Consumer<ControlAnswer> reply) {
		FleetController activeController = this.controller.orElseThrow();
		if (call instanceof ControlRequest.Heartbeat && this.config.isEmpty()) {
			// Nothing is wrong with the heartbeat; its service can't be known yet.
			reply.accept(noConfig());
		}
		else if (call instanceof ControlRequest.Heartbeat heartbeat) {
			Optional<String> objection = activeController.objectionTo(heartbeat.heartbeat(),
					System.currentTimeMillis());
			if (objection.isPresent()) {
				reply.accept(ControlAnswer.of(Kind.INVALID, objection.get()));
				return;
			}
			long now = System.nanoTime();
			commit(activeController.heartbeat(heartbeat.heartbeat(), now),
					(answer) -> grantKeys(answer, heartbeat.heartbeat(), activeController, now, reply));
		}
		else if (call instanceof ControlRequest.Leave leave) {
			commit(activeController.leave(leave.target(), leave.born()), reply);
		}
		else if (call instanceof ControlRequest.SetDomainOut change) {
			setDomainOut(change, reply);
		}
		else if (call instanceof ControlRequest.ReplaceConfig replace) {
			replaceConfig(replace, reply);
		}
		else {
			FleetState state = this.replica.state();
			reply.accept((state.configVersion() > 0 && this.replica.upToDate())
					? ControlAnswer.ofDocument(state.document()) : noConfig());
		}
	}

	private void setDomainOut(ControlRequest.SetDomainOut change, Consumer<ControlAnswer> reply) {
		if (this.replica.state().domainsOut().contains(change.domain()) == change.out()) {
			reply.accept(accepted());
		}
		else if (change.out() && !this.controller.orElseThrow().knowsDomain(change.domain())) {
			reply.accept(ControlAnswer.of(Kind.INVALID,
					"failure domain " + change.domain() + " isn't named by the settings, and no target is in it"));
		}
		else {
			commit(Optional.of(new FleetCommand.SetDomainOut(change.domain(), change.out())), reply);
		}
	}

	private void commit(Optional<FleetCommand> command, Consumer<ControlAnswer> reply) {
		if (command.isEmpty()) {
			reply.accept(accepted());
			return;
		}
		this.replica.propose(command.get(), (result) -> {
			if (result.isEmpty()) {
				this.controller.ifPresent((activeController) -> activeController.commandRejected(command.get()));
			}
			reply.accept(result.isPresent() ? accepted() : undecided());
		});
	}

	// Grants keys in the reply to a heartbeat, unless the leadership in which it was
	// received has ended. Delays the reply while the target is about to receive keys.
	private void grantKeys(ControlAnswer answer, TargetHeartbeat heartbeat, FleetController receiver,
			long receivedNanos, Consumer<ControlAnswer> reply) {
		boolean mayGrant = answer.kind() == Kind.ACCEPTED && mayAct()
				&& this.controller.filter((current) -> current == receiver).isPresent();
		long now = System.nanoTime();
		if (!mayGrant) {
			reply.accept(answer);
		}
		else if (receiver.awaitsKeys(heartbeat, receivedNanos, now)) {
			this.loop.schedule(KEYS_POLL_INTERVAL_NANOS,
					() -> grantKeys(answer, heartbeat, receiver, receivedNanos, reply));
		}
		else {
			reply.accept(answer.with(receiver.renewal(heartbeat, now)));
		}
	}

	// The response contains the leader's address, so that later calls of a target need no
	// redirect.
	private ControlAnswer accepted() {
		return ControlAnswer.of(Kind.ACCEPTED, this.replica.name() + ':' + this.settings.listen().getPort());
	}

	private static ControlAnswer noConfig() {
		return ControlAnswer.of(Kind.UNAVAILABLE, "no configuration is available yet");
	}

	private static ControlAnswer undecided() {
		return ControlAnswer.of(Kind.UNAVAILABLE, "the change may or may not be committed");
	}

	private void replaceConfig(ControlRequest.ReplaceConfig change, Consumer<ControlAnswer> reply) {
		FleetState state = this.replica.state();
		if (state.accepted(change.version(), change.document())) {
			reply.accept(acceptedConfig(this.entries.readableByNone(change.version(), System.nanoTime())));
			return;
		}
		if (change.document().length > MAX_CONFIG_BYTES) {
			reply.accept(ControlAnswer.of(Kind.INVALID, "the configuration must not exceed " + MAX_CONFIG_BYTES
					+ " bytes (was " + change.document().length + ")"));
			return;
		}
		try {
			List<String> findings = ConfigValidator.check(this.dialect.config(change.document()));
			if (!findings.isEmpty()) {
				reply.accept(ControlAnswer.of(Kind.INVALID, String.join("; ", findings)));
				return;
			}
		}
		catch (InvalidDocumentException ex) {
			reply.accept(ControlAnswer.of(Kind.INVALID, ex.getMessage()));
			return;
		}
		FleetCommand command = new FleetCommand.ReplaceConfig(change.base(), change.version(), change.document());
		this.replica.propose(command, (result) -> replyToReplaceConfig(change, result, reply));
	}

	private void replyToReplaceConfig(ControlRequest.ReplaceConfig change, Optional<FleetResult> result,
			Consumer<ControlAnswer> reply) {
		if (result.isEmpty()) {
			reply.accept(undecided());
			return;
		}
		switch (result.get().outcome()) {
			case ACCEPTED -> this.entries.confirmWhenApplied(result.get().configVersion(),
					(readableByNone) -> reply.accept(acceptedConfig(readableByNone)));
			case ALREADY_ACCEPTED ->
				reply.accept(acceptedConfig(this.entries.readableByNone(change.version(), System.nanoTime())));
			case WRONG_BASE -> reply.accept(
					ControlAnswer.of(Kind.WRONG_VERSION, "version " + result.get().configVersion() + " is in force"));
			case VERSION_NOT_HIGHER -> reply.accept(ControlAnswer.of(Kind.INVALID,
					"the version must be higher than version " + result.get().configVersion() + ", which is in force"));
		}
	}

	// A configuration that no entry instance can read isn't in force anywhere.
	private ControlAnswer acceptedConfig(boolean readableByNone) {
		return readableByNone
				? ControlAnswer.of(Kind.UNAVAILABLE, "version " + this.replica.state().configVersion()
						+ " is recorded, but no entry instance can read it; replace it by one that they can read")
				: accepted();
	}

	private static long clockOffsetMillis() {
		return System.currentTimeMillis() - System.nanoTime() / MILLISECOND;
	}

	/**
	 * The view that this leader sends to entry instances.
	 */
	private final class LeaderViewSource implements EntrySessions.ViewSource {

		private long packedVersion = -1;

		private byte[] packed = new byte[0];

		@Override
		public long configVersion() {
			return ControlNode.this.replica.state().configVersion();
		}

		@Override
		public byte[] document() {
			if (this.packedVersion != configVersion()) {
				this.packed = PackedDocument.pack(ControlNode.this.replica.state().document());
				this.packedVersion = configVersion();
			}
			return this.packed;
		}

		@Override
		public long changeCount() {
			return ControlNode.this.controller.orElseThrow().viewChanges();
		}

		@Override
		public ViewState state(long sequence, int instances, long now) {
			FleetController activeController = ControlNode.this.controller.orElseThrow();
			return ViewState.of(sequence, configVersion(), instances, activeController.viewTargets(now),
					activeController.viewKeys(), activeController.viewObservations(), now / MILLISECOND);
		}

	}

	/**
	 * Executes the decisions of the controller. Results that arrive in a later term are
	 * ignored.
	 */
	private final class Output implements FleetOutput {

		private final long term = ControlNode.this.controllerTerm;

		private final LeaderCalls begunCalls = ControlNode.this.leaderCalls;

		private final FailedWorkLog failedWork = new FailedWorkLog(ControlNode.this.events);

		@Override
		public void propose(FleetCommand command) {
			ControlNode.this.replica.propose(command, (result) -> {
				if (result.isEmpty()) {
					activeController().ifPresent((controller) -> controller.commandRejected(command));
				}
			});
		}

		@Override
		public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
			GrantCall call = new GrantCall(target.name(), false, lease.range().keys().first(),
					lease.range().keys().last(), lease.range().fence(),
					LeaseTiming.DEFAULT.grantDurationNanos() / MILLISECOND, lease.handover());
			send(target, call, via,
					() -> activeController().filter((controller) -> controller.mayGrant(lease)).isPresent(),
					(reply) -> activeController().ifPresent(
							(controller) -> controller.grantReturned(lease, reply.outcome(), System.nanoTime())));
		}

		@Override
		public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
			GrantCall call = new GrantCall(target.name(), true, lease.range().keys().first(),
					lease.range().keys().last(), lease.releaseFence(), 0, Optional.empty());
			send(target, call, via, () -> true, (reply) -> activeController().ifPresent((controller) -> controller
				.releaseReturned(lease, reply.outcome(), reply.handover(), System.nanoTime())));
		}

		@Override
		public void keysMoved(RangeLease lease, long ownerlessNanos) {
			ControlNode.this.events.metrics()
				.record("keys_without_owner_millis", TimeUnit.NANOSECONDS.toMillis(ownerlessNanos));
		}

		@Override
		public void decision(String event, Object... details) {
			ControlNode.this.events.metrics().count("controller_decisions", event.replace('-', '_'));
			Object[] namesAndValues = new Object[details.length + 2];
			namesAndValues[0] = "decision";
			namesAndValues[1] = event;
			System.arraycopy(details, 0, namesAndValues, 2, details.length);
			ControlNode.this.events.log(NodeEvent.CONTROLLER_DECISION, namesAndValues);
		}

		@Override
		public void workFailed(String duty, String element, RuntimeException failure) {
			this.failedWork.failed(duty, element, failure);
		}

		private Optional<FleetController> activeController() {
			return ControlNode.this.controller.filter((controller) -> ControlNode.this.replica.term() == this.term);
		}

		// A call that can't be written has an outcome too; without it, the lease would
		// wait for a reply and never be renewed or released.
		private void send(FleetTarget target, GrantCall call, Optional<String> via, BooleanSupplier wanted,
				Consumer<GrantReply> receiver) {
			Consumer<GrantReply> reply = this.begunCalls.begin(call, receiver);
			try {
				trySend(target, call, via, wanted, reply);
			}
			catch (RuntimeException ex) {
				workFailed("call target", target.name(), ex);
				ControlNode.this.loop.schedule(RELAY_TIMEOUT_NANOS, () -> reply.accept(GrantReply.UNKNOWN));
			}
		}

		private void trySend(FleetTarget target, GrantCall call, Optional<String> via, BooleanSupplier wanted,
				Consumer<GrantReply> reply) {
			Optional<EntrySession> session = via.flatMap(ControlNode.this.entries::session);
			if (session.isPresent()) {
				long number = session.get().relay(this.term, target.address(), call, reply);
				ControlNode.this.loop.schedule(RELAY_TIMEOUT_NANOS,
						() -> session.get().relayReplied(number, GrantReply.UNKNOWN));
			}
			else {
				ControlNode.this.calls.send(target.address(), call, wanted, reply);
			}
		}

	}

}
