package org.redwingramp.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.node.api.RequestFields;
import org.redwingramp.node.api.ResponseFields;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.http.CallFailure;
import org.redwingramp.node.http.ClientListener;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.Timer;

/**
 * One request on its way. Invariants: a request that isn't idempotent is never sent again
 * once a byte may have reached a target, unless that target said that it didn't run it; a
 * refusal as not run is given only if that holds for every attempt. Not thread safe; it
 * belongs to the loop's thread.
 */
final class RequestRun {

	private static final long MILLISECOND = 1_000_000L;

	/** Below this remaining time no attempt is started, in milliseconds. */
	private static final double LEAST_USEFUL_MILLIS = 15;

	/** The delay asked of callers while the configuration or an owner isn't known. */
	private static final long UNKNOWN_RETRY_MILLIS = 250;

	/** How long a target that answered for another instance is avoided. */
	private static final long MISDIRECTED_AVOID_NANOS = 1000 * MILLISECOND;

	/**
	 * How long a request waits for news of its key after a target said it isn't there.
	 */
	private static final long OWNER_NEWS_NANOS = 120 * MILLISECOND;

	/** The most sends of one request, those refused for their key included. */
	private static final int MAX_SENDS = 5;

	private static final int MISDIRECTED = 421;

	private static final int FIRST_SERVER_ERROR = 500;

	private final EntryNode node;

	private final HttpExchange exchange;

	private final List<String> refusedBy = new ArrayList<>();

	private RequestFields fields;

	private Route route;

	private String service = "";

	private boolean sharded;

	private long finalNanos;

	private long sentNanos;

	private EntryTarget target;

	private TargetConnections.Call call;

	private Timer finalTimer;

	private Timer newsTimer;

	private int attempts;

	private int sends;

	private boolean mayHaveRun;

	private boolean over;

	private boolean keyCounted;

	private boolean callerLeft;

	private long waitedFromNanos;

	RequestRun(EntryNode node, HttpExchange exchange) {
		this.node = node;
		this.exchange = exchange;
		this.finalNanos = exchange.receivedNanos();
	}

	void start() {
		this.fields = this.node.dialect().requestFields(this.exchange.request());
		if (this.node.view().config().isEmpty()) {
			refuse(Refusal.NO_CONFIG, UNKNOWN_RETRY_MILLIS);
			return;
		}
		Optional<Route> found = this.node.view().route(this.fields.host(), this.exchange.request().path());
		if (found.isEmpty()) {
			refuse(Refusal.NO_ROUTE, 0);
			return;
		}
		if (this.fields.id().isEmpty()) {
			refuse(Refusal.MALFORMED, 0);
			return;
		}
		this.route = found.get();
		this.service = this.node.view().serviceOf(this.route);
		this.sharded = this.node.view().service(this.service).map(ServiceSpec::sharded).orElse(false);
		if (this.sharded && this.fields.key().isEmpty()) {
			refuse(Refusal.MALFORMED, 0);
			return;
		}
		long allowed = Math.min(this.fields.deadlineMillis().orElse(this.route.timeoutMillis()),
				this.route.timeoutMillis());
		this.finalNanos = this.exchange.receivedNanos() + allowed * MILLISECOND;
		this.finalTimer = this.node.loop().schedule(this.finalNanos - System.nanoTime(), this::outOfTime);
		this.exchange.onAbandoned(this::abandoned);
		this.node.budget(this.service).firstAttemptSent();
		attempt();
	}

	void retryAfterViewChange() {
		if (!this.over && this.call == null) {
			attempt();
		}
	}

	private void attempt() {
		long now = System.nanoTime();
		cancelNews();
		this.node.stopWaiting(this);
		if (remainingMillis(now) < LEAST_USEFUL_MILLIS || this.sends >= MAX_SENDS) {
			giveUp(Refusal.OVERLOADED, 0);
			return;
		}
		if (this.sharded) {
			attemptOwner(now);
		}
		else {
			attemptAny(now);
		}
	}

	private void attemptOwner(long now) {
		int key = this.fields.key().orElseThrow();
		if (!this.keyCounted) {
			this.keyCounted = true;
			this.node.keyUsed(this.service, key, this.node.expectedMillis(this.route));
		}
		if (this.node.outOfTouch(now)) {
			giveUp(Refusal.OUT_OF_TOUCH, UNKNOWN_RETRY_MILLIS);
			return;
		}
		String owner = this.node.view().owner(this.service, key);
		Optional<EntryTarget> found = this.node.view().target(owner).filter((target) -> target.view().usable());
		boolean refusedTwice = this.refusedBy.indexOf(owner) != this.refusedBy.lastIndexOf(owner);
		if (found.isEmpty() || refusedTwice) {
			waitForOwner(now, Long.MAX_VALUE, owner);
			return;
		}
		if (found.get().tracker().avoided(now)) {
			giveUp(Refusal.UNREACHABLE, UNKNOWN_RETRY_MILLIS);
			return;
		}
		admit(found.get(), now);
	}

	private void attemptAny(long now) {
		List<EntryTarget> usable = this.node.view().targets(this.service);
		List<EntryTarget> candidates = usable.stream()
			.filter((candidate) -> !candidate.tracker().avoided(now) && !this.refusedBy.contains(candidate.name()))
			.toList();
		List<EntryTarget> warm = candidates.stream().filter((candidate) -> !candidate.cold(now)).toList();
		List<EntryTarget> last = usable.stream()
			.filter((candidate) -> !this.refusedBy.contains(candidate.name()))
			.toList();
		List<EntryTarget> chosen = warm.isEmpty() ? (candidates.isEmpty() ? last : candidates) : warm;
		if (chosen.isEmpty()) {
			giveUp(Refusal.NO_TARGET, UNKNOWN_RETRY_MILLIS);
			return;
		}
		admit(this.node.better(chosen, now), now);
	}

	private void admit(EntryTarget candidate, long now) {
		double wait = candidate.tracker().waitMillis(now);
		double work = candidate.tracker().serviceMillis();
		double remaining = remainingMillis(now);
		if (!this.node.admission().admits(wait, work, remaining, this.route.priority())) {
			giveUp(Refusal.OVERLOADED, this.node.admission().retryAfterMillis(wait, work, remaining));
			return;
		}
		double coldPerSecond = this.node.view()
			.service(this.service)
			.map(ServiceSpec::coldPerSecond)
			.filter((rate) -> rate > 0)
			.orElse(Double.MAX_VALUE);
		if (!candidate.takeColdToken(coldPerSecond, this.node.view().sharers(), now)) {
			giveUp(Refusal.COLD, UNKNOWN_RETRY_MILLIS);
			return;
		}
		send(candidate, now);
	}

	private void send(EntryTarget candidate, long now) {
		this.target = candidate;
		this.sentNanos = now;
		this.attempts++;
		this.sends++;
		candidate.tracker().sent();
		long left = Math.max(1, (long) remainingMillis(now));
		this.call = candidate.connections()
			.send(this.node.dialect().targetRequest(this.exchange.request(), candidate.name(), left),
					this.finalNanos - now, this.mayHaveRun, new Attempt());
	}

	private void answered(HttpResponse response) {
		long now = System.nanoTime();
		ResponseFields answer = this.node.dialect().responseFields(response.headers());
		EntryTarget sender = endAttempt();
		answer.load().ifPresent((load) -> sender.tracker().loadReported(load.running(), load.waiting(), now));
		answer.coldLeftMillis().ifPresent((millis) -> sender.coldFor(millis, now));
		if (answer.notRun() || response.status() == MISDIRECTED) {
			notRun(sender, response.status(), now);
			return;
		}
		this.mayHaveRun = true;
		boolean success = response.status() < FIRST_SERVER_ERROR;
		double elapsed = (now - this.sentNanos) / (double) MILLISECOND;
		if ((success && !answer.signed()) || answer.encoded()) {
			failed(sender, "not-signed", now);
			return;
		}
		if (success) {
			sender.answered(this.node.expectedMillis(this.route), elapsed);
			sender.tracker().answered(elapsed);
			this.node.answered(this.route, elapsed);
		}
		else {
			noteFailure(sender, "status-" + response.status(), now);
			if (retry(sender, "status-" + response.status(), now)) {
				return;
			}
		}
		finish(NodeEvent.REQUEST_ANSWERED, "answer", success ? "answered" : "target-failure",
				this.node.dialect().callerResponse(response), 0);
	}

	// The target stated that it didn't run this request.
	private void notRun(EntryTarget sender, int status, long now) {
		note(NodeEvent.ATTEMPT_FAILED, "cause", "not-run-" + status, now);
		this.refusedBy.add(sender.name());
		if (status == MISDIRECTED) {
			this.attempts--;
			if (!budget().tryRetry()) {
				giveUp(Refusal.KEY_MOVING, UNKNOWN_RETRY_MILLIS);
			}
			else if (this.sharded) {
				boolean first = this.refusedBy.indexOf(sender.name()) == this.refusedBy.lastIndexOf(sender.name());
				waitForOwner(now, first ? OWNER_NEWS_NANOS : Long.MAX_VALUE, sender.name());
			}
			else {
				sender.tracker().avoid(MISDIRECTED_AVOID_NANOS, now);
				attempt();
			}
			return;
		}
		if (!this.sharded && this.attempts < this.route.maxAttempts() && budget().tryRetry()) {
			attempt();
			return;
		}
		double remaining = remainingMillis(now);
		giveUp(Refusal.TARGET_REFUSED,
				this.node.admission()
					.retryAfterMillis(sender.tracker().waitMillis(now) + sender.tracker().serviceMillis(),
							sender.tracker().serviceMillis(), remaining));
	}

	private void failed(CallFailure failure) {
		long now = System.nanoTime();
		EntryTarget sender = endAttempt();
		if (!failure.mayHaveRun() || !this.sharded) {
			noteFailure(sender, failure.cause().name(), now);
		}
		if (failure.mayHaveRun()) {
			this.mayHaveRun = true;
			failed(sender, failure.cause().name(), now);
			return;
		}
		note(NodeEvent.ATTEMPT_FAILED, "cause", failure.cause().name(), now);
		this.refusedBy.add(sender.name());
		if (!this.sharded && this.attempts < this.route.maxAttempts()) {
			attempt();
		}
		else {
			giveUp(Refusal.UNREACHABLE, UNKNOWN_RETRY_MILLIS);
		}
	}

	// The only owner of a key is avoided only if it can't be reached at all; a lost
	// answer
	// says nothing about the next one.
	private void noteFailure(EntryTarget sender, String cause, long now) {
		if (this.sharded && cause.startsWith("status")) {
			return;
		}
		if (sender.tracker().failed(now)) {
			this.node.events()
				.log(NodeEvent.TARGET_AVOIDED, "target", sender.name(), "cause", cause, "config",
						this.node.view().configVersion());
		}
	}

	private void failed(EntryTarget sender, String cause, long now) {
		if (!retry(sender, cause, now)) {
			finish(Refusal.NO_ANSWER, cause);
		}
	}

	private boolean retry(EntryTarget sender, String cause, long now) {
		this.node.events().metrics().count("attempt_failures", cause);
		note(NodeEvent.ATTEMPT_FAILED, "cause", cause, now);
		boolean useful = remainingMillis(now) > sender.tracker().serviceMillis();
		boolean allowed = this.route.kind().repeatable() && !this.callerLeft && this.attempts < this.route.maxAttempts()
				&& useful && budget().tryRetry();
		if (allowed) {
			if (!this.sharded) {
				this.refusedBy.add(sender.name());
			}
			attempt();
		}
		return allowed;
	}

	private void waitForOwner(long now, long atMostNanos, String owner) {
		if (this.waitedFromNanos == 0) {
			this.waitedFromNanos = now;
		}
		note(NodeEvent.REQUEST_WAITS, "owner", owner, now);
		this.node.waitForView(this);
		double spare = remainingMillis(now) - 1.5 * this.node.expectedMillis(this.route);
		if (spare <= 0) {
			giveUp(Refusal.KEY_MOVING, UNKNOWN_RETRY_MILLIS);
			return;
		}
		boolean news = atMostNanos < spare * MILLISECOND;
		long nanos = Math.min(atMostNanos, (long) (spare * MILLISECOND));
		this.newsTimer = this.node.loop().schedule(nanos, () -> {
			this.newsTimer = null;
			if (news) {
				attempt();
			}
			else {
				giveUp(Refusal.KEY_MOVING, UNKNOWN_RETRY_MILLIS);
			}
		});
	}

	private void outOfTime() {
		if (this.over) {
			return;
		}
		if (this.call != null) {
			this.call.cancel();
			endAttempt();
			this.mayHaveRun = true;
		}
		giveUp(this.mayHaveRun ? Refusal.TIMED_OUT : Refusal.OVERLOADED, 0);
	}

	// The caller closed the connection. Work that may be repeated is ended; other work is
	// left to finish, since breaking it off would leave its outcome open.
	private void abandoned() {
		if (this.over) {
			return;
		}
		this.callerLeft = true;
		note(NodeEvent.REQUEST_ABANDONED, "kind", this.route.kind(), System.nanoTime());
		boolean leave = this.call != null && !this.route.kind().repeatable();
		if (leave) {
			return;
		}
		if (this.call != null) {
			this.call.cancel();
			endAttempt();
		}
		end();
	}

	private EntryTarget endAttempt() {
		EntryTarget sender = this.target;
		sender.tracker().ended();
		this.call = null;
		return sender;
	}

	private RetryBudget budget() {
		return this.node.budget(this.service);
	}

	private double remainingMillis(long now) {
		return (this.finalNanos - now) / (double) MILLISECOND;
	}

	private void giveUp(Refusal refusal, long retryAfterMillis) {
		if (this.mayHaveRun && refusal.mayReturn()) {
			finish(Refusal.NO_ANSWER, refusal.name());
		}
		else {
			refuse(refusal, retryAfterMillis);
		}
	}

	private void refuse(Refusal refusal, long retryAfterMillis) {
		finish((refusal == Refusal.TIMED_OUT) ? NodeEvent.REQUEST_FAILED : NodeEvent.REQUEST_REFUSED, "reason", refusal,
				own(refusal, retryAfterMillis), retryAfterMillis);
	}

	private void finish(Refusal refusal, String cause) {
		finish(NodeEvent.REQUEST_FAILED, "reason", refusal + " " + cause, own(refusal, 0), 0);
	}

	private HttpResponse own(Refusal refusal, long retryAfterMillis) {
		return this.node.dialect()
			.ownResponse(refusal.status(), this.fields.id().orElse(""), refusal.mayReturn() ? retryAfterMillis : 0);
	}

	private void finish(NodeEvent event, String name, Object value, HttpResponse response, long retryAfterMillis) {
		if (this.over) {
			return;
		}
		end();
		long now = System.nanoTime();
		this.node.events().metrics().count("requests", String.valueOf(value).split(" ")[0]);
		this.node.events().metrics().record("request_millis", (now - this.exchange.receivedNanos()) / MILLISECOND);
		this.node.events()
			.log(event, "request", this.fields.id().orElse(""), name, value, "status", response.status(), "route",
					(this.route != null) ? this.route.name() : "", "service", this.service, "key",
					this.fields.key().orElse(-1), "target", (this.target != null) ? this.target.name() : "", "sends",
					this.sends, "millis", (now - this.exchange.receivedNanos()) / MILLISECOND, "left",
					(this.finalNanos - now) / MILLISECOND, "retry-after", retryAfterMillis, "config",
					this.node.view().configVersion(), "view", this.node.view().sequence(), "control-age",
					this.node.controlSilentMillis(now));
		this.exchange.respond(response);
	}

	private void note(NodeEvent event, String name, Object value, long now) {
		this.node.events()
			.log(event, "request", this.fields.id().orElse(""), name, value, "service", this.service, "key",
					this.fields.key().orElse(-1), "target", (this.target != null) ? this.target.name() : "", "sends",
					this.sends, "elapsed", (now - this.exchange.receivedNanos()) / MILLISECOND, "view",
					this.node.view().sequence());
	}

	private void end() {
		this.over = true;
		if (this.finalTimer != null) {
			this.finalTimer.cancel();
		}
		cancelNews();
		this.node.stopWaiting(this);
	}

	private void cancelNews() {
		if (this.newsTimer != null) {
			this.newsTimer.cancel();
			this.newsTimer = null;
		}
	}

	/**
	 * Hears the outcome of one attempt.
	 */
	private final class Attempt implements ClientListener {

		@Override
		public boolean accepts(HttpResponse response) {
			String id = RequestRun.this.fields.id().orElseThrow();
			return RequestRun.this.node.dialect()
				.responseFields(response.headers())
				.requestId()
				.filter((answered) -> !answered.equals(id))
				.isEmpty();
		}

		@Override
		public void answered(HttpResponse response) {
			RequestRun.this.answered(response);
		}

		@Override
		public void failed(CallFailure failure) {
			RequestRun.this.failed(failure);
		}

	}

}
