package org.redwingramp.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.redwingramp.core.dispatch.ColdPeriod;
import org.redwingramp.core.fleet.ColdEntry.Known;
import org.redwingramp.core.fleet.ColdTarget.Outcome;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;

/**
 * Runs targets that become cold, entry instances under load and a succession of control
 * leaders over a network that loses and holds up messages. A {@link ColdCheck} ends the
 * run at the first target that is flooded. A seed fixes the run. Not thread safe.
 */
final class ColdFleet {

	static final String SERVICE = "s";

	static final double COLD_PER_SECOND = 11;

	private static final long MS = SimulatedTime.MS;

	private static final int ENTRIES = 10;

	private static final int STEP_MILLIS = 10;

	private static final int STEPS_PER_TICK = 5;

	private static final int HEARTBEAT_MILLIS = 870;

	private static final double REQUESTS_PER_MILLI = 0.09;

	private static final int OPERATOR_RETRY_MILLIS = 100;

	final SimulatedTime time = new SimulatedTime();

	final Random random;

	final List<ColdTarget> targets = new ArrayList<>();

	final List<ColdEntry> entries = new ArrayList<>();

	final ColdCheck check = new ColdCheck();

	/** The share of heartbeats that are lost or held up. */
	double heartbeatLoss;

	double loadFactor = 1;

	// The committed state, and what follows from it.
	private final FleetState committed = new FleetState(FleetSnapshot.EMPTY);

	private final ToldFacts committedFacts = new ToldFacts();

	// When the heartbeat was sent by which a target was recorded, by command.
	private final Map<FleetCommand, Long> heartbeatNanos = new IdentityHashMap<>();

	private DomainReturns domainReturns = new DomainReturns();

	private final Deque<FleetCommand> proposed = new ArrayDeque<>();

	private final List<ColdLeader> leaders = new ArrayList<>();

	private Optional<ColdLeader> leader = Optional.empty();

	private long term;

	private int names;

	private int steps;

	private int requests;

	private int served;

	private Optional<List<String>> trace = Optional.empty();

	ColdFleet(long seed, int size) {
		this.random = new Random(seed);
		IntStream.range(0, ENTRIES).forEach((i) -> this.entries.add(new ColdEntry(this, i)));
		startLeadership();
		IntStream.range(0, size).forEach((i) -> {
			ColdTarget target = new ColdTarget(nextName(), "d-" + i % 3, this.time, this.random);
			this.targets.add(target);
			heartbeats(target, target.born);
		});
		nextRequest();
	}

	void traceTo(List<String> lines) {
		this.trace = Optional.of(lines);
	}

	void trace(Supplier<String> line) {
		this.trace.ifPresent((lines) -> lines.add(this.time.now() / MS + " " + line.get()));
	}

	void advance(int millis) {
		for (int i = 0; i < millis; i += STEP_MILLIS) {
			this.time.advanceTo(this.time.now() + STEP_MILLIS * MS);
			if (++this.steps % STEPS_PER_TICK == 0) {
				this.leaders.forEach(ColdLeader::tick);
			}
			this.leaders.forEach(ColdLeader::publish);
		}
	}

	// Returns the leaders that run, also former ones that haven't noticed their end.
	List<ColdLeader> leaders() {
		return this.leaders.stream().filter((candidate) -> candidate.alive && candidate.leads).toList();
	}

	Optional<ColdLeader> leader() {
		return this.leader;
	}

	private void startLeadership() {
		ColdLeader next = new ColdLeader(this, ++this.term, this.committed.snapshot(), this.committedFacts,
				this.domainReturns);
		this.leader = Optional.of(next);
		this.leaders.add(next);
		trace(() -> "leader of term " + next.term + " begins");
		this.entries.forEach((entry) -> entry.connect(next));
	}

	// Ends the leadership: the next one begins after a delay. What was proposed and isn't
	// committed by then is lost.
	Optional<ColdLeader> endLeadership(int delayMillis) {
		Optional<ColdLeader> former = this.leader;
		this.leader = Optional.empty();
		int last = this.random.nextInt(this.proposed.size() + 1);
		IntStream.range(0, last).forEach((i) -> apply(this.proposed.poll()));
		this.proposed.clear();
		former.ifPresent((ended) -> {
			trace(() -> "leader of term " + ended.term + " is lost");
			this.time.schedule(delayMillis, this::startLeadership);
		});
		return former;
	}

	// All control replicas and entry instances are lost and start again. The log is what
	// remains of what they knew.
	void loseAllInstances(int downMillis) {
		trace(() -> "all instances are lost");
		endLeadership(downMillis);
		this.domainReturns = new DomainReturns();
		this.leaders.forEach((lost) -> lost.alive = false);
		this.entries.forEach((entry) -> entry.restart(downMillis));
	}

	void proposedByHeartbeat(ColdLeader proposer, FleetCommand command, long sentNanos) {
		this.heartbeatNanos.put(command, sentNanos);
		proposed(proposer, command);
	}

	void proposed(ColdLeader proposer, FleetCommand command) {
		if (this.leader.filter((current) -> current == proposer).isEmpty()) {
			return;
		}
		this.proposed.add(command);
		int slowest = (this.random.nextInt(5) == 0) ? 500 : 30;
		this.time.schedule(10 + this.random.nextInt(slowest), () -> {
			if (this.leader.filter((current) -> current == proposer).isPresent()) {
				FleetCommand next = this.proposed.poll();
				apply(next);
				proposer.receive(() -> proposer.applied(next));
			}
		});
	}

	private void apply(FleetCommand command) {
		trace(() -> "committed " + command);
		this.committed.apply(command);
		this.domainReturns.applied(command, this.time.now());
		if (command instanceof RecordTarget record) {
			this.committedFacts.started(record.target());
			Optional.ofNullable(this.heartbeatNanos.remove(command))
				.ifPresent((sentNanos) -> this.committedFacts.heartbeat(record.target(), sentNanos));
		}
		else if (command instanceof SetDomainOut change && change.out()) {
			this.committedFacts.evacuated(change.domain());
		}
	}

	// Takes a failure domain out of service or back, as soon as a leader can commit it.
	void setDomainOut(String domain, boolean out, Runnable done) {
		if (this.committed.domainsOut().contains(domain) == out) {
			done.run();
			return;
		}
		this.leader.filter(ColdLeader::acts).ifPresent((acting) -> acting.propose(new SetDomainOut(domain, out)));
		this.time.schedule(OPERATOR_RETRY_MILLIS, () -> setDomainOut(domain, out, done));
	}

	// Returns the number of evacuations of a failure domain so far.
	int evacuations(String domain) {
		return this.committedFacts.evacuations(domain);
	}

	boolean domainOut(String domain) {
		return this.committed.domainsOut().contains(domain);
	}

	void becomeCold(ColdTarget target) {
		target.becomeCold(domainOut(target.domain) ? evacuations(target.domain) : 0);
		trace(() -> target.name + " becomes cold again");
	}

	void restart(ColdTarget target, int downMillis, boolean sameName) {
		target.crash();
		trace(() -> target.name + " ends");
		this.time.schedule(downMillis, () -> {
			if (!target.up) {
				target.start(sameName ? target.name : nextName());
				trace(() -> target.name + " starts");
				long born = target.born;
				this.time.schedule(this.random.nextInt(50), () -> heartbeats(target, born));
			}
		});
	}

	private String nextName() {
		return "t-" + this.names++;
	}

	private void heartbeats(ColdTarget target, long born) {
		if (!target.up || target.born != born) {
			return;
		}
		boolean retry = !sendHeartbeat(target);
		int interval = retry ? 50 + this.random.nextInt(HEARTBEAT_MILLIS) : HEARTBEAT_MILLIS + this.random.nextInt(40);
		this.time.schedule(interval, () -> heartbeats(target, born));
	}

	// Returns false if the target sends the next heartbeat early, since it got no answer.
	private boolean sendHeartbeat(ColdTarget target) {
		TargetHeartbeat heartbeat = target.heartbeat();
		long sentNanos = this.time.now();
		if (target.cutFromControl) {
			return false;
		}
		if (this.random.nextDouble() < this.heartbeatLoss) {
			if (this.random.nextBoolean()) {
				// The connection was held up, so the heartbeat arrives after its timeout.
				this.time.schedule(this.random.nextInt(3000),
						() -> this.leader.ifPresent((current) -> deliver(current, heartbeat, sentNanos)));
			}
			return false;
		}
		Optional<ColdLeader> known = Optional.ofNullable(target.contact).filter((contact) -> contact.alive);
		if (known.isEmpty()) {
			target.contact = this.leader.orElse(null);
			return false;
		}
		ColdLeader contact = known.get();
		if (contact.acts()) {
			this.time.schedule(1 + this.random.nextInt(4), () -> deliver(contact, heartbeat, sentNanos));
			return true;
		}
		if (contact.frozen()) {
			deliver(contact, heartbeat, sentNanos);
		}
		boolean redirected = !contact.leads && this.leader.isPresent();
		if (redirected) {
			this.time.schedule(2 + this.random.nextInt(5),
					() -> this.leader.ifPresent((current) -> deliver(current, heartbeat, sentNanos)));
		}
		if (redirected || this.random.nextBoolean()) {
			target.contact = this.leader.orElse(contact);
		}
		return redirected;
	}

	private void deliver(ColdLeader receiver, TargetHeartbeat heartbeat, long sentNanos) {
		receiver.receive(() -> {
			if (receiver.acts()) {
				trace(() -> "leader of term " + receiver.term + " gets heartbeat " + heartbeat.sequence() + " of "
						+ heartbeat.target().name() + " sent at " + sentNanos / MS + ", cold for "
						+ heartbeat.coldLeftMillis());
				receiver.heartbeat(heartbeat, sentNanos);
			}
		});
	}

	private void nextRequest() {
		double millis = -Math.log(1 - this.random.nextDouble()) / (REQUESTS_PER_MILLI * this.loadFactor);
		this.time.schedule(Math.round(millis), () -> {
			this.requests++;
			ColdEntry entry = this.entries.get(this.random.nextInt(ENTRIES));
			entry.receive(new ColdRequest(this, entry));
			nextRequest();
		});
	}

	// Carries a request to the address of a target.
	void deliver(ColdEntry entry, Known addressed, String permit, BiConsumer<Outcome, ColdTarget> end) {
		ColdTarget target = this.targets.stream()
			.filter((candidate) -> candidate.address.equals(addressed.view().address()))
			.findFirst()
			.orElseThrow();
		String name = addressed.name();
		long sentNanos = this.time.now();
		ToldFacts told = entry.facts.snapshot();
		ColdPeriod.Source source = addressed.coldPeriod().source();
		long age = addressed.coldPeriod().ageMillis(sentNanos);
		int delay = (this.random.nextInt(20) == 0) ? 40 : 3;
		this.time.schedule(1 + this.random.nextInt(delay), () -> {
			if (target.cold() && target.name.equals(name)) {
				boolean excused = told.excuses(target);
				trace(() -> "entry " + entry.number + " to " + name + ", permit " + permit + ", known by " + source
						+ " for " + age + (excused ? ", excused" : ""));
				this.check.arrived(name, sentNanos, excused, this.time.now());
			}
			target.receive(name, end);
		});
	}

	void ended(boolean success) {
		this.served += success ? 1 : 0;
	}

	int requests() {
		return this.requests;
	}

	int served() {
		return this.served;
	}

}
