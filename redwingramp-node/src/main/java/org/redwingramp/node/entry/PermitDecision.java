package org.redwingramp.node.entry;

import org.redwingramp.node.events.NodeEvent;

/**
 * Sends or refuses a request once it is known whether a target with a limited rate may
 * get it. Not thread safe; confined to the event loop thread.
 */
final class PermitDecision implements RatePermits.Listener {

	/** The retry delay sent to callers if no leader states when a permit is due. */
	private static final long RETRY_AFTER_WITHOUT_LEADER_MILLIS = 250;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final EntryNode node;

	private final RequestExecution execution;

	private final EntryTarget candidate;

	private final TargetRate rate;

	private final long startNanos = System.nanoTime();

	PermitDecision(EntryNode node, RequestExecution execution, EntryTarget candidate, TargetRate rate) {
		this.node = node;
		this.execution = execution;
		this.candidate = candidate;
		this.rate = rate;
	}

	@Override
	public void granted() {
		log("granted");
		this.candidate.rateSharedByLeader(0, System.nanoTime());
		this.execution.sendPermitted(this.candidate, this.rate);
	}

	@Override
	public void refused(long retryAfterMillis) {
		this.candidate.rateSharedByLeader(retryAfterMillis, System.nanoTime());
		refuse("refused", retryAfterMillis);
	}

	// Refuses the request, since the leader said before that no permit is due in time.
	void notDue(long nextPermitMillis) {
		refuse("no-permit-due", nextPermitMillis);
	}

	@Override
	public void noReply() {
		if (this.candidate.tryAcquireShare(this.rate.perSecond(), this.node.view().limitSharingInstances(),
				System.nanoTime())) {
			log("share");
			this.execution.sendPermitted(this.candidate, this.rate);
		}
		else {
			refuse("no-share", RETRY_AFTER_WITHOUT_LEADER_MILLIS);
		}
	}

	private void refuse(String outcome, long retryAfterMillis) {
		log(outcome);
		this.execution.permitRefused(this.candidate, this.rate.reason(), retryAfterMillis);
	}

	private void log(String outcome) {
		long now = System.nanoTime();
		this.node.events().metrics().count("rate_permits", outcome);
		this.node.events()
			.log(NodeEvent.RATE_PERMIT, "request", this.execution.requestId(), "permit", outcome, "target",
					this.candidate.name(), "per-second", this.rate.perSecond(), "limit-age",
					this.rate.statedAgeMillis(now), "millis", (now - this.startNanos) / NANOS_PER_MILLI, "control-age",
					this.node.leaderContactAgeMillis(now));
	}

}
