package org.redwingramp.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.redwingramp.core.dispatch.Admission;
import org.redwingramp.core.fleet.ColdEntry.Known;
import org.redwingramp.core.fleet.ColdTarget.Outcome;

/**
 * A request of a caller at an entry instance, executed as by {@code RequestExecution} of
 * redwingramp-node for a service without keys. Not thread safe.
 */
final class ColdRequest {

	private static final long MS = SimulatedTime.MS;

	private static final Admission ADMISSION = new Admission();

	private static final int TIMEOUT_MILLIS = 1500;

	private static final int TARGET_LATENCY_MILLIS = 600;

	private static final double MIN_ATTEMPT_MILLIS = 15;

	private static final int MAX_ATTEMPTS = 2;

	private static final int MAX_SENDS = 5;

	private static final long MISDIRECTED_AVOID_NANOS = 1000 * MS;

	private final ColdFleet fleet;

	private final ColdEntry entry;

	private final int priority;

	private final long receivedNanos;

	private final long deadlineNanos;

	// The start of the entry instance that received the request.
	private final int start;

	private final List<String> refusedBy = new ArrayList<>();

	private int attempts;

	private int sends;

	private String permit = "none";

	ColdRequest(ColdFleet fleet, ColdEntry entry) {
		this.fleet = fleet;
		this.entry = entry;
		this.start = entry.starts();
		this.priority = fleet.random.nextInt(3);
		this.receivedNanos = fleet.time.now();
		this.deadlineNanos = this.receivedNanos + TIMEOUT_MILLIS * MS;
	}

	void refused() {
		this.fleet.ended(false);
	}

	void attempt() {
		if (remainingMillis() < MIN_ATTEMPT_MILLIS || this.sends >= MAX_SENDS) {
			refused();
			return;
		}
		List<Known> notRefusing = this.entry.usable()
			.stream()
			.filter((target) -> !this.refusedBy.contains(target.name()))
			.toList();
		List<Known> candidates = notRefusing.stream().filter((target) -> !target.tracker().avoided(now())).toList();
		List<Known> warm = candidates.stream().filter((target) -> !target.cold(now())).toList();
		List<Known> chosen = warm.isEmpty() ? (candidates.isEmpty() ? notRefusing : candidates) : warm;
		if (chosen.isEmpty()) {
			refused();
		}
		else {
			sendIfAdmitted(better(chosen));
		}
	}

	private Known better(List<Known> chosen) {
		Known first = chosen.get(this.fleet.random.nextInt(chosen.size()));
		Known second = chosen.get(this.fleet.random.nextInt(chosen.size()));
		return (first.tracker().expectedResponseMillis(now()) <= second.tracker().expectedResponseMillis(now())) ? first
				: second;
	}

	private void sendIfAdmitted(Known target) {
		if (!ADMISSION.admits(target.tracker().waitMillis(now()), target.tracker().serviceMillis(), remainingMillis(),
				this.priority)) {
			refused();
		}
		else if (!target.cold(now())) {
			this.permit = "not needed";
			send(target);
		}
		else {
			requestPermit(target);
		}
	}

	private void requestPermit(Known target) {
		long maxDelay = maxPermitDelayMillis(target);
		if (target.nextPermitMillis(now()) > maxDelay) {
			withoutPermit(target);
			return;
		}
		this.entry.requestPermit(target, maxDelay,
				(granted, delayMillis) -> permitReplied(target, granted, delayMillis), () -> noPermitReply(target));
	}

	private void permitReplied(Known target, boolean granted, long delayMillis) {
		if (!granted) {
			target.rateSharedByLeader(delayMillis, now());
			withoutPermit(target);
		}
		else {
			this.fleet.time.schedule(delayMillis, () -> {
				target.rateSharedByLeader(0, now());
				this.permit = "granted after " + delayMillis;
				sendPermitted(target);
			});
		}
	}

	private void noPermitReply(Known target) {
		if (target.tryAcquireShare(this.fleet.random.nextDouble(), this.entry.limitSharingInstances(), now())) {
			this.permit = "share";
			sendPermitted(target);
		}
		else {
			withoutPermit(target);
		}
	}

	private long maxPermitDelayMillis(Known target) {
		double work = target.tracker().serviceMillis();
		double inTime = TARGET_LATENCY_MILLIS - (now() - this.receivedNanos) / (double) MS - work;
		double admitted = ADMISSION.maxWaitMillis(work, remainingMillis(), this.priority);
		return hasWarmTarget() ? 0 : (long) Math.max(0, Math.min(inTime, admitted));
	}

	private boolean hasWarmTarget() {
		return this.entry.usable()
			.stream()
			.anyMatch((target) -> !this.refusedBy.contains(target.name()) && !target.tracker().avoided(now())
					&& !target.cold(now()));
	}

	private void sendPermitted(Known target) {
		if (this.entry.current(target) && target.view().usable() && remainingMillis() >= MIN_ATTEMPT_MILLIS) {
			send(target);
		}
		else {
			attempt();
		}
	}

	private void withoutPermit(Known target) {
		if (hasWarmTarget()) {
			this.refusedBy.add(target.name());
			attempt();
		}
		else {
			refused();
		}
	}

	private void send(Known target) {
		if (this.entry.starts() != this.start) {
			return;
		}
		target.tracker().sent();
		this.attempts++;
		this.sends++;
		long sentNanos = now();
		this.fleet.deliver(this.entry, target, this.permit,
				(outcome, sender) -> ended(target, outcome, sender, sentNanos));
	}

	private void ended(Known target, Outcome outcome, ColdTarget sender, long sentNanos) {
		int running = sender.running();
		int waiting = sender.waiting();
		this.fleet.time.schedule(1 + this.fleet.random.nextInt(3), () -> {
			if (this.entry.starts() != this.start) {
				return;
			}
			target.tracker().ended();
			switch (outcome) {
				case ANSWERED -> {
					target.tracker().loadReported(running, waiting, now());
					target.tracker().answered((now() - sentNanos) / (double) MS);
					this.fleet.ended(now() <= this.deadlineNanos);
				}
				case REFUSED -> {
					target.tracker().failed(now());
					sendElsewhere(target);
				}
				case MISDIRECTED -> {
					target.tracker().avoid(MISDIRECTED_AVOID_NANOS, now());
					this.attempts--;
					sendElsewhere(target);
				}
				case BROKEN -> {
					target.tracker().failed(now());
					refused();
				}
			}
		});
	}

	private void sendElsewhere(Known target) {
		this.refusedBy.add(target.name());
		if (this.attempts < MAX_ATTEMPTS) {
			attempt();
		}
		else {
			refused();
		}
	}

	private double remainingMillis() {
		return (this.deadlineNanos - now()) / (double) MS;
	}

	private long now() {
		return this.fleet.time.now();
	}

}
