package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwingramp.core.dispatch.RateReservations.Reservation;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.core.ownership.RangeLease;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.ServiceSpec;

/**
 * A control replica in the term in which it leads. It knows what was committed by then,
 * and may go on for some time after another one was elected: until it notices, it sends
 * views, and as long as it may act it takes heartbeats and answers questions for permits.
 * While it is frozen, what it receives is held up. Not thread safe.
 */
final class ColdLeader implements FleetOutput {

	final long term;

	/** What it has heard itself and what follows from the committed state. */
	final ToldFacts facts;

	boolean alive = true;

	boolean leads = true;

	boolean mayAct = true;

	private final ColdFleet fleet;

	private final FleetState state;

	private final FleetController controller;

	private final Map<ColdLink, Session> sessions = new LinkedHashMap<>();

	private final List<Runnable> heldUp = new ArrayList<>();

	private boolean frozen;

	private ViewState view = ViewState.EMPTY;

	private long builtChanges = -1;

	private int builtSessions;

	ColdLeader(ColdFleet fleet, long term, FleetSnapshot committed, ToldFacts committedFacts,
			DomainReturns domainReturns) {
		this.fleet = fleet;
		this.term = term;
		this.state = new FleetState(committed);
		this.facts = committedFacts.copy();
		this.controller = new FleetController(this.state, this, LeaseTiming.DEFAULT, fleet.time.now());
		this.controller.services(List.of(new ServiceSpec(ColdFleet.SERVICE, "/", 1, false, ColdTarget.COLD_MILLIS,
				ColdFleet.COLD_PER_SECOND, 0, GrantMode.CALL)));
		domainReturns.passTo(this.controller, ColdTarget.COLD_MILLIS, fleet.time.now());
	}

	// Runs what arrives here, later if this replica is frozen.
	void receive(Runnable message) {
		if (this.frozen) {
			this.heldUp.add(message);
		}
		else if (this.alive) {
			message.run();
		}
	}

	void freeze() {
		this.frozen = true;
	}

	void thaw() {
		this.frozen = false;
		List<Runnable> late = List.copyOf(this.heldUp);
		this.heldUp.clear();
		late.forEach(this::receive);
	}

	boolean frozen() {
		return this.frozen;
	}

	boolean acts() {
		return this.alive && this.leads && this.mayAct && !this.frozen;
	}

	void stopLeading() {
		this.leads = false;
		this.mayAct = false;
		this.sessions.clear();
	}

	void helloReceived(ColdLink link) {
		if (this.leads) {
			this.sessions.computeIfAbsent(link, (key) -> new Session());
		}
		link.toEntry(() -> link.entry().leaderInfo(this, this.leads));
	}

	void linkClosed(ColdLink link) {
		this.sessions.remove(link);
	}

	void heartbeat(TargetHeartbeat heartbeat, long sentNanos) {
		long now = this.fleet.time.now();
		if (this.controller.objectionTo(heartbeat, now / SimulatedTime.MS).isEmpty()) {
			this.facts.heartbeat(heartbeat.target(), sentNanos);
			this.controller.heartbeat(heartbeat, now)
				.ifPresent((command) -> this.fleet.proposedByHeartbeat(this, command, sentNanos));
		}
	}

	void permitRequested(ColdLink link, String target, double perSecond, long maxDelayNanos, PermitReply reply) {
		if (acts()) {
			Reservation reservation = this.controller.reserve(target, perSecond, Optional.empty(), maxDelayNanos,
					this.fleet.time.now());
			link.toEntry(() -> reply.replied(reservation.granted(), reservation.delayNanos() / SimulatedTime.MS));
		}
	}

	void applied(FleetCommand command) {
		long now = this.fleet.time.now();
		this.state.apply(command);
		this.controller.commandApplied(command, now);
		if (command instanceof RecordTarget record) {
			this.facts.started(record.target());
		}
		else if (command instanceof SetDomainOut change && change.out()) {
			this.facts.evacuated(change.domain());
		}
		else if (command instanceof SetDomainOut change) {
			this.controller.domainReturned(change.domain(), ColdTarget.COLD_MILLIS, now, now);
		}
	}

	void tick() {
		if (acts()) {
			this.controller.tick(this.fleet.time.now());
		}
	}

	// Sends what has changed to the entry instances: the view, and apart from it the
	// facts.
	void publish() {
		if (!this.alive || !this.leads || this.frozen || this.sessions.isEmpty()) {
			return;
		}
		long now = this.fleet.time.now();
		if (this.controller.viewChanges() != this.builtChanges || this.sessions.size() != this.builtSessions) {
			this.builtChanges = this.controller.viewChanges();
			this.builtSessions = this.sessions.size();
			ViewState next = ViewState.of(this.view.sequence() + 1, 1, this.sessions.size(),
					this.controller.viewTargets(now), Map.of(), List.of(), now / SimulatedTime.MS);
			if (next.differs(this.view)) {
				this.view = next;
			}
		}
		this.sessions.forEach((link, session) -> send(link, session, now));
	}

	private void send(ColdLink link, Session session, long now) {
		Optional<FleetView> changes = Optional.of(this.view)
			.filter((current) -> current != session.sent)
			.map((current) -> current.changesSince(session.sent, this.term, Optional.empty(), now));
		session.sent = this.view;
		ToldFacts told = this.facts.snapshot();
		if (changes.isPresent() || session.told != told) {
			session.told = told;
			link.toEntry(() -> link.entry().viewReceived(link, changes, told));
		}
	}

	@Override
	public void propose(FleetCommand command) {
		this.fleet.proposed(this, command);
	}

	@Override
	public void grant(RangeLease lease, FleetTarget target, Optional<String> via) {
		throw new AssertionError("keys of a service without keys were granted: " + lease.range());
	}

	@Override
	public void release(RangeLease lease, FleetTarget target, Optional<String> via) {
		throw new AssertionError("keys of a service without keys were released: " + lease.range());
	}

	@Override
	public void keysMoved(RangeLease lease, long ownerlessNanos) {
	}

	@Override
	public void workFailed(String duty, String element, RuntimeException failure) {
		throw failure;
	}

	@Override
	public void decision(String event, Object... details) {
		this.fleet.trace(() -> "leader of term " + this.term + ": " + event + ' ' + List.of(details));
	}

	/** Receives the answer to a question for a permit. */
	interface PermitReply {

		void replied(boolean granted, long delayMillis);

	}

	private static final class Session {

		private ViewState sent = ViewState.EMPTY;

		private ToldFacts told;

	}

}
