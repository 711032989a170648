package org.redwingramp.node.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.core.fleet.FleetController;
import org.redwingramp.core.fleet.FleetOutput;
import org.redwingramp.core.fleet.FleetResult;
import org.redwingramp.core.fleet.FleetState;
import org.redwingramp.core.fleet.FleetTarget;
import org.redwingramp.core.fleet.ViewState;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;
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
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.storage.StorageException;

/**
 * A control replica: answers targets and operators, and while it leads runs the
 * controller and tells entry instances the view. Invariant: a change is acknowledged only
 * once it is committed. Not thread safe; it belongs to the loop's thread.
 */
public final class ControlNode {

	private static final long MILLISECOND = 1_000_000L;

	/** The time between two rounds of the controller. */
	private static final long CONTROLLER_NANOS = 50 * MILLISECOND;

	/**
	 * How long a replica that was suspended doesn't act. The entry instances and the
	 * other replicas are heard again by then.
	 */
	private static final long AFTER_SUSPENSION_NANOS = 1200 * MILLISECOND;

	/** The time between two checks of the entry instances. */
	private static final long ENTRY_CHECK_NANOS = 500 * MILLISECOND;

	private static final long RELAY_TIMEOUT_NANOS = 1300 * MILLISECOND;

	/**
	 * The longest time that calls wait for the first leader after a start. The callers
	 * give up after a second.
	 */
	private static final long CALLS_WAIT_NANOS = 700 * MILLISECOND;

	private static final long CALLS_CHECK_NANOS = 50 * MILLISECOND;

	/** The time in which entry instances get their first view, ahead of calls. */
	private static final long CALLS_AFTER_LEADER_NANOS = 150 * MILLISECOND;

	/** A jump of the wall clock against the monotonic one that tells of a suspension. */
	private static final long SUSPENDED_MILLIS = 400;

	/** The largest body of a control call; a configuration of thousands of routes. */
	private static final HttpLimits LIMITS = new HttpLimits(16_384, 4 * 1024 * 1024, 3000 * MILLISECOND,
			15_000 * MILLISECOND);

	private final EventLoop loop;

	private final ControlSettings settings;

	private final PlatformDialect dialect;

	private final EventWriter events;

	private final ReplicaHost replica;

	private final TargetCalls calls;

	private final EntrySessions entries;

	private final Views viewSource = new Views();

	private Optional<FleetController> controller = Optional.empty();

	private Optional<TrafficConfig> config = Optional.empty();

	private LinkMessage.LeaderInfo leaderTold = new LinkMessage.LeaderInfo("", false, List.of());

	private long wallOffsetMillis = wallOffset();

	private long suspendedUntilNanos = System.nanoTime();

	private ControlNode(EventLoop loop, ControlSettings settings, PlatformDialect dialect, EventWriter events)
			throws StorageException {
		this.loop = loop;
		this.settings = settings;
		this.dialect = dialect;
		this.events = events;
		this.replica = new ReplicaHost(loop, settings, events);
		this.calls = new TargetCalls(loop, dialect, this::mayAct);
		this.entries = new EntrySessions(loop, events);
	}

	/**
	 * Starts a control replica.
	 * @param loop the event loop
	 * @param settings the settings
	 * @param dialect the platform's formats
	 * @param events the log
	 * @return the node
	 * @throws IOException if an address can't be used
	 * @throws StorageException if the data folder can't be used
	 */
	public static ControlNode start(EventLoop loop, ControlSettings settings, PlatformDialect dialect,
			EventWriter events) throws IOException, StorageException {
		ControlNode node = new ControlNode(loop, settings, dialect, events);
		loop.listen(new InetSocketAddress(settings.listen().getAddress(), settings.peerPort()),
				(tcp) -> Link.accepted(tcp, node::received, node::ended));
		ServerSocketChannel calls = loop.bind(settings.listen());
		node.replica.start(node::applied);
		ControlWarmup.start(dialect, events);
		node.addGauges(events.metrics());
		node.acceptCalls(calls, System.nanoTime() + CALLS_WAIT_NANOS);
		loop.repeat(CONTROLLER_NANOS, node::tick);
		loop.repeat(ENTRY_CHECK_NANOS, () -> node.entries.check(System.nanoTime()));
		loop.afterEachRound(node::flush);
		return node;
	}

	/**
	 * Closes the data folder.
	 * @throws IOException if a file can't be closed
	 */
	public void close() throws IOException {
		this.replica.close();
	}

	/**
	 * Takes over new seeds.
	 * @param seeds the IP addresses of known control replicas
	 */
	public void seeds(List<String> seeds) {
		this.replica.learn(seeds);
	}

	// Calls of targets and operators wait a moment for the first leader. Answered before,
	// they would be told to come back, and the answers would delay the election.
	private void acceptCalls(ServerSocketChannel socket, long latest) {
		if (this.replica.leader().isEmpty() && System.nanoTime() - latest < 0) {
			this.loop.schedule(CALLS_CHECK_NANOS, () -> acceptCalls(socket, latest));
		}
		else {
			this.loop.schedule(CALLS_AFTER_LEADER_NANOS, () -> acceptCalls(socket));
		}
	}

	private void acceptCalls(ServerSocketChannel socket) {
		try {
			HttpServer.idle(() -> LIMITS, this::handle).accept(this.loop, socket);
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
		metrics.gauge("config_version", () -> this.replica.state().configVersion());
		metrics.gauge("targets", () -> this.replica.state().targets().size());
		metrics.gauge("leases", () -> this.controller.map(FleetController::leaseCount).orElse(0L));
		metrics.gauge("leases_not_serving", () -> this.controller.map(FleetController::unservedLeaseCount).orElse(0L));
	}

	private void tick() {
		noticeSuspension();
		follow();
		this.entries.dropSilent(System.nanoTime());
		if (this.controller.isPresent() && mayAct()) {
			this.controller.get().tick(System.nanoTime());
		}
	}

	// A process that was suspended doesn't see it on the monotonic clock. What it knew of
	// its lease is stale until the others have been heard again.
	private void noticeSuspension() {
		long offset = wallOffset();
		if (Math.abs(offset - this.wallOffsetMillis) > SUSPENDED_MILLIS) {
			this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "suspension-noticed", "millis",
					offset - this.wallOffsetMillis);
			this.suspendedUntilNanos = System.nanoTime() + AFTER_SUSPENSION_NANOS;
		}
		this.wallOffsetMillis = offset;
	}

	private boolean mayAct() {
		noticeSuspension();
		return this.replica.mayAct() && System.nanoTime() - this.suspendedUntilNanos >= 0;
	}

	private void follow() {
		if (this.controller.isPresent() && !this.replica.leads()) {
			this.controller = Optional.empty();
			this.entries.end();
			this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "leadership-ended", "term", this.replica.term());
		}
		if (this.controller.isEmpty() && this.replica.leads() && this.replica.current()) {
			lead();
		}
		tellLeader();
	}

	private void lead() {
		FleetState state = this.replica.state();
		this.controller = Optional.of(new FleetController(state, new Output(), LeaseTiming.DEFAULT, System.nanoTime()));
		readConfig();
		// Entry instances refuse all requests until they have a view, so it is sent
		// before the controller's first round.
		this.entries.begin();
		tellLeader();
		flush();
		this.events.log(NodeEvent.CONTROLLER_DECISION, "decision", "leadership-began", "term", this.replica.term(),
				"config", state.configVersion(), "targets", state.targets().size());
	}

	private void readConfig() {
		FleetState state = this.replica.state();
		if (state.configVersion() == 0) {
			return;
		}
		try {
			this.config = Optional.of(this.dialect.config(state.document()));
			Set<String> sharded = this.config.get()
				.services()
				.stream()
				.filter(ServiceSpec::sharded)
				.map(ServiceSpec::name)
				.collect(Collectors.toSet());
			this.controller.ifPresent((running) -> running.shardedServices(sharded));
		}
		catch (InvalidDocumentException ex) {
			// It was read before it was proposed, so this is a fault of the program.
			this.events.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "read configuration", "reason", ex.getMessage());
		}
	}

	private void tellLeader() {
		LinkMessage.LeaderInfo info = leaderInfo();
		if (!info.equals(this.leaderTold)) {
			this.leaderTold = info;
			this.entries.tell(info);
		}
	}

	private LinkMessage.LeaderInfo leaderInfo() {
		return new LinkMessage.LeaderInfo(this.replica.leader().orElse(""), this.controller.isPresent(),
				this.replica.replicaNames());
	}

	private void received(Link link, LinkMessage message) {
		if (message instanceof LinkMessage.EntryHello hello) {
			this.entries.hello(link, hello);
			link.send(leaderInfo());
			follow(link, hello.entry(), hello.configVersion());
		}
		else if (message instanceof LinkMessage.Report report) {
			report(link, report);
		}
		else if (message instanceof LinkMessage.RelayReply reply) {
			this.entries.session(link).ifPresent((session) -> session.relayed(reply.number(), reply.reply()));
		}
		else {
			this.replica.received(message);
			if (message instanceof LinkMessage.ReplicaHello) {
				acknowledgeHello(link);
			}
		}
	}

	// The opener of a link only hears that it works if something comes back. It may be a
	// replica outside the group, which learns of the leader this way only.
	private void acknowledgeHello(Link link) {
		link.send(this.replica.hello());
		if (this.controller.isPresent()) {
			link.send(leaderInfo());
		}
	}

	private void follow(Link link, String entry, long configVersion) {
		if (this.controller.isPresent()) {
			this.entries.follow(link, entry, configVersion);
		}
	}

	private void report(Link link, LinkMessage.Report report) {
		follow(link, report.entry(), 0);
		link.send(leaderInfo());
		if (this.controller.isPresent()) {
			long now = System.nanoTime();
			this.entries.acknowledged(link, (report.term() == this.replica.term()) ? report.sequence() : 0, now);
			this.controller.get().report(report.entry(), report.report(), now);
		}
	}

	private void ended(Link link) {
		this.entries.ended(link);
	}

	private void applied(FleetCommand command, FleetResult result) {
		long now = System.nanoTime();
		if (command instanceof FleetCommand.ReplaceConfig replace) {
			this.events.log(NodeEvent.COMMITTED, "command", "replace-config", "base", replace.base(), "version",
					replace.version(), "outcome", result.outcome(), "in-force", result.configVersion());
			readConfig();
		}
		else if (this.controller.isPresent() && !(command instanceof FleetCommand.AssignKeys)) {
			// Assignments are logged where they are decided.
			this.events.log(NodeEvent.COMMITTED, "command", command.getClass().getSimpleName(), "details", command);
		}
		this.controller.ifPresent((running) -> {
			running.commandApplied(command, now);
			if (command instanceof FleetCommand.SetDomainOut change && !change.out()) {
				running.markDomainCold(change.domain(), coldMillis(), now);
			}
		});
	}

	private long coldMillis() {
		return this.config.stream()
			.flatMap((current) -> current.services().stream())
			.mapToLong(ServiceSpec::coldMillis)
			.max()
			.orElse(0);
	}

	// Sends what changed in this round of events to the entry instances.
	private void flush() {
		if (this.controller.isPresent()) {
			this.entries.publish(this.viewSource, System.nanoTime());
		}
	}

	private void handle(HttpExchange exchange) {
		ControlRequest call = this.dialect.controlRequest(exchange.request());
		Consumer<ControlAnswer> reply = (answer) -> {
			note(call, answer, exchange);
			exchange.respond(this.dialect.controlResponse(call, answer, exchange.request()));
		};
		if (call instanceof ControlRequest.Unknown) {
			reply.accept(ControlAnswer.of(Kind.UNKNOWN_CALL, ""));
		}
		else if (call instanceof ControlRequest.Invalid invalid) {
			reply.accept(ControlAnswer.of(Kind.INVALID, invalid.reason()));
		}
		else if (this.controller.isPresent() && mayAct()) {
			answer(call, reply);
		}
		else {
			reply.accept(elsewhere());
		}
	}

	private void note(ControlRequest call, ControlAnswer answer, HttpExchange exchange) {
		boolean routine = call instanceof ControlRequest.Heartbeat && answer.kind() == Kind.ACCEPTED;
		if (!routine) {
			this.events.log(NodeEvent.CONTROL_CALL, "call",
					exchange.request().method() + ' ' + exchange.request().target(), "answer", answer.kind(), "text",
					answer.text(), "millis", (System.nanoTime() - exchange.receivedNanos()) / MILLISECOND);
		}
	}

	private ControlAnswer elsewhere() {
		Optional<String> leader = this.replica.leader().filter((name) -> !name.equals(this.replica.name()));
		return leader.map((name) -> ControlAnswer.of(Kind.LEADER_IS, name + ':' + this.settings.listen().getPort()))
			.orElseGet(() -> ControlAnswer.of(Kind.UNAVAILABLE, "no leader is known"));
	}

	private void answer(ControlRequest call, Consumer<ControlAnswer> reply) {
		FleetController running = this.controller.orElseThrow();
		if (call instanceof ControlRequest.Heartbeat heartbeat) {
			commit(running.heartbeat(heartbeat.beat(), System.nanoTime()), reply);
		}
		else if (call instanceof ControlRequest.Leave leave) {
			commit(running.leave(leave.target(), leave.born()), reply);
		}
		else if (call instanceof ControlRequest.SetDomainOut change) {
			boolean inForce = this.replica.state().domainsOut().contains(change.domain()) == change.out();
			commit(inForce ? Optional.empty()
					: Optional.of(new FleetCommand.SetDomainOut(change.domain(), change.out())), reply);
		}
		else if (call instanceof ControlRequest.ReplaceConfig replace) {
			replace(replace, reply);
		}
		else {
			FleetState state = this.replica.state();
			reply.accept((state.configVersion() > 0 && this.replica.current())
					? new ControlAnswer(Kind.DOCUMENT, "", state.document())
					: ControlAnswer.of(Kind.UNAVAILABLE, "no configuration"));
		}
	}

	private void commit(Optional<FleetCommand> command, Consumer<ControlAnswer> reply) {
		if (command.isEmpty()) {
			reply.accept(accepted());
			return;
		}
		this.replica.propose(command.get(), (result) -> reply.accept(result.isPresent() ? accepted() : undecided()));
	}

	// A target is told the leader's address, which spares the redirect of later calls.
	private ControlAnswer accepted() {
		return ControlAnswer.of(Kind.ACCEPTED, this.replica.name() + ':' + this.settings.listen().getPort());
	}

	private static ControlAnswer undecided() {
		return ControlAnswer.of(Kind.UNAVAILABLE, "the change may or may not be committed");
	}

	private void replace(ControlRequest.ReplaceConfig change, Consumer<ControlAnswer> reply) {
		FleetState state = this.replica.state();
		if (state.accepted(change.version(), change.document())) {
			reply.accept(accepted());
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
		this.replica.propose(command, (result) -> reply(result, reply));
	}

	private void reply(Optional<FleetResult> result, Consumer<ControlAnswer> reply) {
		if (result.isEmpty()) {
			reply.accept(undecided());
			return;
		}
		switch (result.get().outcome()) {
			case ACCEPTED -> this.entries.confirmLater(result.get().configVersion(), () -> reply.accept(accepted()));
			case ALREADY_ACCEPTED -> reply.accept(accepted());
			case WRONG_BASE -> reply.accept(
					ControlAnswer.of(Kind.WRONG_VERSION, "version " + result.get().configVersion() + " is in force"));
			case VERSION_NOT_HIGHER ->
				reply.accept(ControlAnswer.of(Kind.INVALID, "the version isn't above the one in force"));
		}
	}

	private static long wallOffset() {
		return System.currentTimeMillis() - System.nanoTime() / MILLISECOND;
	}

	/**
	 * What this leader tells entry instances.
	 */
	private final class Views implements EntrySessions.ViewSource {

		@Override
		public long term() {
			return ControlNode.this.replica.term();
		}

		@Override
		public long configVersion() {
			return ControlNode.this.replica.state().configVersion();
		}

		@Override
		public byte[] document() {
			return ControlNode.this.replica.state().document();
		}

		@Override
		public long changes() {
			return ControlNode.this.controller.orElseThrow().viewChanges();
		}

		@Override
		public ViewState state(long sequence, int instances, long now) {
			FleetController running = ControlNode.this.controller.orElseThrow();
			return ViewState.of(sequence, configVersion(), instances, running.viewTargets(now), running.viewKeys(),
					now / MILLISECOND);
		}

	}

	/**
	 * Carries out what the controller decides.
	 */
	private final class Output implements FleetOutput {

		private final long term = ControlNode.this.replica.term();

		@Override
		public void propose(FleetCommand command) {
			ControlNode.this.replica.propose(command, (result) -> {
				if (result.isEmpty()) {
					running().ifPresent((controller) -> controller.commandRejected(command));
				}
			});
		}

		@Override
		public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
			GrantCall call = new GrantCall(target.name(), false, lease.range().keys().first(),
					lease.range().keys().last(), lease.range().fence(),
					LeaseTiming.DEFAULT.grantDurationNanos() / MILLISECOND, lease.handover());
			send(target, call, via, (reply) -> running()
				.ifPresent((controller) -> controller.grantReturned(lease, reply.outcome(), System.nanoTime())));
		}

		@Override
		public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
			GrantCall call = new GrantCall(target.name(), true, lease.range().keys().first(),
					lease.range().keys().last(), lease.range().fence(), 0, Optional.empty());
			send(target, call, via, (reply) -> running().ifPresent((controller) -> controller.releaseReturned(lease,
					reply.outcome(), reply.handover(), System.nanoTime())));
		}

		@Override
		public void decision(String event, Object... details) {
			Object[] all = new Object[details.length + 2];
			all[0] = "decision";
			all[1] = event;
			System.arraycopy(details, 0, all, 2, details.length);
			ControlNode.this.events.log(NodeEvent.CONTROLLER_DECISION, all);
		}

		private Optional<FleetController> running() {
			return ControlNode.this.controller.filter((controller) -> ControlNode.this.replica.term() == this.term);
		}

		private void send(FleetTarget target, GrantCall call, Optional<String> via, Consumer<GrantReply> reply) {
			Optional<EntrySession> session = via.flatMap(ControlNode.this.entries::session);
			if (session.isPresent()) {
				long number = session.get().relay(this.term, target.address(), call, reply);
				ControlNode.this.loop.schedule(RELAY_TIMEOUT_NANOS,
						() -> session.get().relayed(number, GrantReply.UNKNOWN));
			}
			else {
				ControlNode.this.calls.send(target.address(), call, reply);
			}
		}

	}

}
