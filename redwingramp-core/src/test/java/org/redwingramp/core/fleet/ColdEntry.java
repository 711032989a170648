package org.redwingramp.core.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.dispatch.ColdPeriod;
import org.redwingramp.core.dispatch.SharedRateLimiter;
import org.redwingramp.core.dispatch.TargetTracker;
import org.redwingramp.core.fleet.FleetView.ViewTarget;

/**
 * An entry instance: it applies views and sends requests as the one of redwingramp-node
 * does ({@code EntryView}, {@code ControlLinks}, {@code RatePermits}). It is linked to
 * each leader that runs, and asks the last one that it heard for permits. Not thread
 * safe.
 */
final class ColdEntry {

	private static final long MS = SimulatedTime.MS;

	private static final int REPORT_MILLIS = 250;

	private static final int REPORTS_PER_HELLO = 4;

	private static final long LEADER_TIMEOUT_MILLIS = 900;

	private static final int PERMIT_REPLY_TIMEOUT_MILLIS = 150;

	private static final int RECONNECT_MILLIS = 100;

	private static final int MIN_LIMIT_SHARING_INSTANCES = 10;

	final int number;

	/** Until when its links hold up all messages. */
	long stalledUntilNanos;

	/** What it has been told since it started. */
	ToldFacts facts = new ToldFacts();

	private final ColdFleet fleet;

	private final Map<ColdLeader, ColdLink> links = new LinkedHashMap<>();

	private final Map<String, Known> targets = new LinkedHashMap<>();

	private Optional<ColdLeader> leader = Optional.empty();

	private long leaderContactNanos;

	private boolean cut;

	private int instances;

	private long term;

	private long sequence;

	private int starts;

	private int rounds;

	ColdEntry(ColdFleet fleet, int number) {
		this.fleet = fleet;
		this.number = number;
		this.rounds = number;
		fleet.time.schedule(1 + fleet.random.nextInt(REPORT_MILLIS), this::maintainLinks);
	}

	// Starts again with nothing known; what it sent before ends without it.
	void restart(int downMillis) {
		this.starts++;
		this.targets.clear();
		this.facts = new ToldFacts();
		this.term = 0;
		this.sequence = 0;
		this.instances = 0;
		cut(downMillis);
	}

	// Closes the links to control and opens them again later.
	void cut(int millis) {
		this.cut = true;
		this.leader = Optional.empty();
		List.copyOf(this.links.values()).forEach(ColdLink::close);
		this.links.clear();
		int since = this.starts;
		this.fleet.time.schedule(millis, () -> {
			if (this.starts == since) {
				this.cut = false;
			}
		});
	}

	void reconnect() {
		this.cut = false;
		this.stalledUntilNanos = 0;
	}

	// Opens a link to a leader.
	void connect(ColdLeader next) {
		if (!this.cut && next.alive && !this.links.containsKey(next)) {
			ColdLink link = new ColdLink(this.fleet, this, next);
			this.links.put(next, link);
			link.toLeader(() -> next.helloReceived(link));
		}
	}

	// Called if the leader's process ends or its machine is lost; only then the link
	// stays silent.
	void linkLost(ColdLeader former) {
		Optional.ofNullable(this.links.remove(former)).ifPresent(ColdLink::close);
		this.leader = this.leader.filter((current) -> current != former);
	}

	void leaderInfo(ColdLeader sender, boolean leading) {
		if (leading) {
			this.leader = Optional.of(sender);
		}
		else {
			this.leader = this.leader.filter((current) -> current != sender);
		}
		contact(sender);
	}

	private void contact(ColdLeader sender) {
		if (this.leader.filter((current) -> current == sender).isPresent()) {
			this.leaderContactNanos = this.fleet.time.now();
		}
	}

	private void maintainLinks() {
		this.rounds++;
		this.leader.filter((current) -> now() - this.leaderContactNanos > LEADER_TIMEOUT_MILLIS * MS)
			.ifPresent(this::linkLost);
		this.fleet.leaders().forEach(this::connect);
		this.links.forEach((linked, link) -> {
			if (this.rounds % REPORTS_PER_HELLO == 0
					|| this.leader.filter((current) -> current == linked).isPresent()) {
				link.toLeader(() -> linked.helloReceived(link));
			}
		});
		this.fleet.time.schedule(REPORT_MILLIS, this::maintainLinks);
	}

	void viewReceived(ColdLink link, Optional<FleetView> update, ToldFacts told) {
		contact(link.leader());
		boolean outdated = link.leader().term < this.term;
		if (update.isPresent() && !outdated && !apply(update.get())) {
			linkLost(link.leader());
			this.fleet.time.schedule(RECONNECT_MILLIS, () -> connect(link.leader()));
			return;
		}
		// A view of a former leader is refused, so it tells nothing.
		if (!outdated) {
			this.facts.add(told);
		}
	}

	// Returns false if the update builds on another view than the present one.
	private boolean apply(FleetView update) {
		if (update.term() == this.term && update.sequence() <= this.sequence) {
			return true;
		}
		if (!update.full() && (update.term() != this.term || update.base() != this.sequence)) {
			return false;
		}
		Set<String> removed = new HashSet<>(update.removedTargets());
		if (update.full()) {
			removed.addAll(this.targets.keySet());
		}
		update.targets().forEach((target) -> {
			removed.remove(target.name());
			this.targets.compute(target.name(), (name, present) -> updated(present, target, update.term()));
		});
		this.targets.keySet().removeAll(removed);
		this.instances = update.instances();
		this.term = update.term();
		this.sequence = update.sequence();
		return true;
	}

	private Known updated(Known present, ViewTarget next, long viewTerm) {
		Known target = (present != null && present.view.born() == next.born()
				&& present.view.address().equals(next.address())) ? present : new Known(next, now());
		boolean returns = next.usable() && !target.view.usable();
		target.view = next;
		target.coldPeriod.viewed(next.coldLeftMillis(), next.coldAssumed(), next.coldRecorded(), returns, viewTerm,
				now());
		this.fleet.trace(() -> "entry " + this.number + ": view of " + next + ", now "
				+ target.coldPeriod.leftMillis(now()) + " " + target.coldPeriod.source());
		return target;
	}

	// Receives a request of a caller.
	void receive(ColdRequest request) {
		if (this.targets.isEmpty()) {
			request.refused();
		}
		else {
			request.attempt();
		}
	}

	List<Known> usable() {
		return this.targets.values().stream().filter((target) -> target.view.usable()).toList();
	}

	boolean current(Known target) {
		return this.targets.get(target.name()) == target;
	}

	int starts() {
		return this.starts;
	}

	// Asks the leader for a permit; exactly one of the outcomes is told.
	void requestPermit(Known target, long maxDelayMillis, ColdLeader.PermitReply reply, Runnable noReply) {
		Question question = new Question();
		Optional<ColdLink> link = this.leader.map(this.links::get);
		link.ifPresent((open) -> open.toLeader(() -> open.leader()
			.permitRequested(open, target.name(), ColdFleet.COLD_PER_SECOND, maxDelayMillis * MS, (granted, delay) -> {
				if (question.end()) {
					reply.replied(granted, delay);
				}
			})));
		this.fleet.time.schedule(link.isPresent() ? PERMIT_REPLY_TIMEOUT_MILLIS : 0, () -> {
			if (question.end()) {
				noReply.run();
			}
		});
	}

	int limitSharingInstances() {
		return Math.max(MIN_LIMIT_SHARING_INSTANCES, this.instances);
	}

	private long now() {
		return this.fleet.time.now();
	}

	private static final class Question {

		private boolean ended;

		// Returns whether this is the first end.
		boolean end() {
			boolean first = !this.ended;
			this.ended = true;
			return first;
		}

	}

	/** A target as this entry instance knows it; compare {@code EntryTarget}. */
	static final class Known {

		private static final double RATE_SHARED_WITHOUT_LEADER = 0.5;

		private static final double INITIAL_SERVICE_MILLIS = 100;

		private final TargetTracker tracker;

		private final ColdPeriod coldPeriod;

		private ViewTarget view;

		private Optional<SharedRateLimiter> share = Optional.empty();

		private long nextPermitNanos;

		Known(ViewTarget view, long now) {
			this.view = view;
			this.tracker = new TargetTracker(view.slots(), INITIAL_SERVICE_MILLIS, now);
			this.coldPeriod = new ColdPeriod(now);
			this.nextPermitNanos = now;
		}

		String name() {
			return this.view.name();
		}

		ViewTarget view() {
			return this.view;
		}

		TargetTracker tracker() {
			return this.tracker;
		}

		ColdPeriod coldPeriod() {
			return this.coldPeriod;
		}

		boolean cold(long now) {
			return this.coldPeriod.cold(now);
		}

		boolean tryAcquireShare(double initialTokens, int instances, long now) {
			if (this.share.isEmpty()) {
				this.share = Optional.of(new SharedRateLimiter(now, initialTokens));
			}
			return this.share.get().tryAcquire(ColdFleet.COLD_PER_SECOND * RATE_SHARED_WITHOUT_LEADER, instances, now);
		}

		void rateSharedByLeader(long nextPermitMillis, long now) {
			this.share = Optional.empty();
			this.nextPermitNanos = now + nextPermitMillis * MS;
		}

		long nextPermitMillis(long now) {
			return Math.max(0, (this.nextPermitNanos - now) / MS);
		}

	}

}
