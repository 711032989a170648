package org.redwingramp.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.redwingramp.core.dispatch.ColdPeriod;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.node.api.RequestFields;
import org.redwingramp.node.api.ResponseFields;
import org.redwingramp.node.events.NodeEvent;
import org.redwingramp.node.http.CallFailure;
import org.redwingramp.node.http.ClientListener;
import org.redwingramp.node.http.HttpExchange;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.ResponseMatch;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.Timer;

/**
 * The execution of one request of a caller: it selects a target, sends the request,
 * retries it within limits, and responds to the caller at most once (not at all if the
 * caller disconnects). Invariants: a request that isn't idempotent is never sent again
 * once a byte may have reached a target, unless that target reported that it didn't run
 * the request; a response that the request was not run is sent only if no attempt may
 * have run it; an unexpected exception ends the request with a response at once. Not
 * thread safe; confined to the event loop thread.
 */
final class RequestExecution {

	private static final long MILLISECOND = 1_000_000L;

	/** No attempt is started if less time than this remains before the deadline. */
	private static final double MIN_ATTEMPT_MILLIS = 15;

	/**
	 * The retry delay sent to callers where no delay follows from the load of a target,
	 * for example while the configuration or the owner of the key is unknown.
	 */
	private static final long DEFAULT_RETRY_AFTER_MILLIS = 250;

	/** The retry delay sent to callers that another entry instance can serve at once. */
	private static final long RETRY_ELSEWHERE_MILLIS = 20;

	/**
	 * How long a target is avoided after it responded with status 421, which means that
	 * the request was addressed to another instance.
	 */
	private static final long MISDIRECTED_AVOID_NANOS = 1000 * MILLISECOND;

	/**
	 * How long a request waits for a view with the new owner of its key after a target
	 * reported that it doesn't own the key. Then the target is tried once more.
	 */
	private static final long OWNER_UPDATE_WAIT_NANOS = 120 * MILLISECOND;

	/**
	 * The maximum number of times that one request is sent, including sends to targets
	 * that refused it because they don't own its key.
	 */
	private static final int MAX_SENDS = 5;

	// Until the fields of the request are read.
	private static final RequestFields NO_FIELDS = new RequestFields(Optional.empty(), OptionalLong.empty(),
			OptionalInt.empty(), "");

	private static final int MISDIRECTED_STATUS = 421;

	private static final int UNAVAILABLE_STATUS = 503;

	/** Statuses which tell a caller that its request was not run. */
	private static final Set<Integer> PROMISING_STATUSES = Set.of(408, 429, UNAVAILABLE_STATUS);

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final EntryNode node;

	private final HttpExchange exchange;

	// Names of the targets that refused or failed this request, one entry each time.
	// If the service isn't sharded, they aren't tried again.
	private final List<String> refusedBy = new ArrayList<>();

	private final List<TargetConnections.Call> formerCalls = new ArrayList<>();

	private RequestFields fields = NO_FIELDS;

	private Route route;

	private String service = "";

	private boolean sharded;

	private long deadlineNanos;

	private long sentNanos;

	private EntryTarget target;

	// What was known of the cold period of the target when the request was sent to it.
	private ColdPeriod.Source coldSource = ColdPeriod.Source.NONE;

	private long coldAgeMillis = -1;

	private TargetConnections.Call call;

	private Timer deadlineTimer;

	private Timer ownerWaitTimer;

	private RatePermits.Permit permit;

	// Sends that count towards the maximum of the route: those with status 421 do
	// not.
	private int attempts;

	private int sends;

	private boolean mayHaveRun;

	private String digest;

	private boolean finished;

	private boolean keyUseRecorded;

	private boolean callerDisconnected;

	private long waitStartNanos;

	RequestExecution(EntryNode node, HttpExchange exchange) {
		this.node = node;
		this.exchange = exchange;
		this.deadlineNanos = exchange.receivedNanos();
	}

	void start() {
		guarded(this::readAndAttempt);
	}

	private void readAndAttempt() {
		this.fields = this.node.dialect().requestFields(this.exchange.request());
		if (this.node.view().config().isEmpty()) {
			refuse(Refusal.NO_CONFIG, DEFAULT_RETRY_AFTER_MILLIS);
			return;
		}
		if (this.node.refusesAsNotFollowing(System.nanoTime())) {
			refuse(Refusal.NOT_FOLLOWING, RETRY_ELSEWHERE_MILLIS);
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
		this.service = this.node.view().selectService(this.route);
		this.sharded = this.node.view().service(this.service).map(ServiceSpec::sharded).orElse(false);
		if (this.sharded && this.fields.key().isEmpty()) {
			refuse(Refusal.MALFORMED, 0);
			return;
		}
		long allowed = Math.min(this.fields.deadlineMillis().orElse(this.route.timeoutMillis()),
				this.route.timeoutMillis());
		this.deadlineNanos = this.exchange.receivedNanos() + allowed * MILLISECOND;
		if (processStopsBefore(System.nanoTime())) {
			refuse(Refusal.STOPPING, RETRY_ELSEWHERE_MILLIS);
			return;
		}
		this.deadlineTimer = this.node.loop()
			.schedule(this.deadlineNanos - System.nanoTime(), () -> guarded(this::deadlineExpired));
		this.exchange.onAbandoned(() -> guarded(this::callerDisconnected));
		this.node.retryBudget(this.service).firstAttemptSent();
		attempt();
	}

	void retryAfterViewChange() {
		if (!this.finished && this.call == null) {
			guarded(this::attempt);
		}
	}

	// Refuses a request that waits to be sent if the planned stop might break it off.
	void refuseIfProcessStopsBefore() {
		guarded(() -> {
			if (!this.finished && this.call == null && processStopsBefore(System.nanoTime())) {
				refuseOrFail(Refusal.STOPPING, RETRY_ELSEWHERE_MILLIS);
			}
		});
	}

	// Ends a request since the process is about to stop.
	void breakOff() {
		guarded(() -> {
			if (!this.finished) {
				cancelCall();
				refuseOrFail(Refusal.STOPPING, RETRY_ELSEWHERE_MILLIS);
			}
		});
	}

	private boolean processStopsBefore(long now) {
		return this.node.stopsBefore(this.deadlineNanos, this.route.kind().repeatable(), now);
	}

	// Runs a step of the execution. The caller isn't left without an answer if it fails.
	private void guarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | OutOfMemoryError | StackOverflowError ex) {
			if (this.finished) {
				throw ex;
			}
			failUnexpectedly(ex);
		}
	}

	private void failUnexpectedly(Throwable cause) {
		StackTraceElement[] stack = cause.getStackTrace();
		this.node.events()
			.log(NodeEvent.UNEXPECTED_FAILURE, "duty", "handle request", "request", requestId(), "failure", cause,
					"stack", (stack.length > 0) ? stack[0] : "", "sends", this.sends);
		cancelCall();
		this.mayHaveRun |= this.sends > 0;
		refuseOrFail(Refusal.UNEXPECTED, DEFAULT_RETRY_AFTER_MILLIS);
	}

	private void attempt() {
		long now = System.nanoTime();
		cancelOwnerWait();
		this.node.stopWaiting(this);
		if (processStopsBefore(now)) {
			refuseOrFail(Refusal.STOPPING, RETRY_ELSEWHERE_MILLIS);
			return;
		}
		if (this.node.refusesAsNotFollowing(now)) {
			refuseOrFail(Refusal.NOT_FOLLOWING, RETRY_ELSEWHERE_MILLIS);
			return;
		}
		OptionalLong quarantineLeft = quarantineLeftMillis(now);
		if (quarantineLeft.isPresent()) {
			refuseOrFail(Refusal.CRASHES_TARGETS, quarantineLeft.getAsLong());
			return;
		}
		if (remainingMillis(now) < MIN_ATTEMPT_MILLIS || this.sends >= MAX_SENDS) {
			refuseOrFail(Refusal.OVERLOADED, 0);
			return;
		}
		if (this.sharded) {
			attemptKeyOwner(now);
		}
		else {
			attemptAnyTarget(now);
		}
	}

	// Sends the request to the owner of its key, or waits while the key has no owner.
	private void attemptKeyOwner(long now) {
		int key = this.fields.key().orElseThrow();
		if (!this.keyUseRecorded) {
			this.keyUseRecorded = true;
			this.node.recordKeyUse(this.service, key, this.node.expectedMillis(this.route));
		}
		if (this.node.leaderContactLost(now)) {
			refuseOrFail(Refusal.OUT_OF_TOUCH, DEFAULT_RETRY_AFTER_MILLIS);
			return;
		}
		String owner = this.node.view().owner(this.service, key);
		Optional<EntryTarget> found = this.node.view()
			.target(owner)
			.filter((target) -> target.view().usable() && !hasLeft(target));
		boolean refusedTwice = this.refusedBy.indexOf(owner) != this.refusedBy.lastIndexOf(owner);
		if (found.isEmpty() || refusedTwice) {
			waitForOwner(now, Long.MAX_VALUE, owner);
			return;
		}
		long pauseLeft = found.get().availability().pauseLeftMillis(now);
		if (pauseLeft > 0) {
			refuseOrFail(Refusal.TARGET_PAUSED, pauseLeft);
			return;
		}
		if (found.get().tracker().avoided(now)) {
			refuseOrFail(Refusal.UNREACHABLE, DEFAULT_RETRY_AFTER_MILLIS);
			return;
		}
		sendIfAdmitted(found.get(), now);
	}

	// Sends the request to any usable target of the service. Prefers warm targets to
	// cold ones, and cold ones to those that are avoided after failures.
	private void attemptAnyTarget(long now) {
		List<EntryTarget> usable = this.node.view()
			.targets(this.service)
			.stream()
			.filter((candidate) -> accepts(candidate, now))
			.toList();
		List<EntryTarget> candidates = usable.stream()
			.filter((candidate) -> !candidate.tracker().avoided(now) && !this.refusedBy.contains(candidate.name())
					&& !candidate.availability().leaving())
			.toList();
		List<EntryTarget> warm = candidates.stream().filter((candidate) -> !candidate.cold(now)).toList();
		List<EntryTarget> notRefusing = usable.stream()
			.filter((candidate) -> !this.refusedBy.contains(candidate.name()))
			.toList();
		List<EntryTarget> chosen = warm.isEmpty() ? (candidates.isEmpty() ? notRefusing : candidates) : warm;
		if (chosen.isEmpty()) {
			refuseWithoutTarget(now);
			return;
		}
		sendIfAdmitted(this.node.chooseTarget(chosen, now), now);
	}

	// Returns whether the target accepts this request now, by what it stated before.
	private boolean accepts(EntryTarget candidate, long now) {
		return candidate.availability().pauseLeftMillis(now) == 0 && !hasLeft(candidate);
	}

	private boolean hasLeft(EntryTarget candidate) {
		return candidate.availability().leftBefore(this.exchange.receivedNanos(), this.node.drainNanos());
	}

	private void refuseWithoutTarget(long now) {
		OptionalLong shortestPause = this.node.view()
			.targets(this.service)
			.stream()
			.mapToLong((candidate) -> candidate.availability().pauseLeftMillis(now))
			.filter((millis) -> millis > 0)
			.min();
		if (shortestPause.isPresent()) {
			refuseOrFail(Refusal.TARGET_PAUSED, shortestPause.getAsLong());
		}
		else {
			refuseOrFail(Refusal.NO_TARGET, DEFAULT_RETRY_AFTER_MILLIS);
		}
	}

	// Sends the request to the candidate if it can be served before the deadline and
	// the rate limit of a cold target allows it; refuses it otherwise.
	private void sendIfAdmitted(EntryTarget candidate, long now) {
		double wait = candidate.tracker().waitMillis(now);
		double work = candidate.tracker().serviceMillis();
		double remaining = remainingMillis(now);
		if (!this.node.admission().admits(wait, work, remaining, this.route.priority())) {
			refuseOrFail(Refusal.OVERLOADED, this.node.admission().retryAfterMillis(wait, work, remaining));
			return;
		}
		Optional<TargetRate> rate = rate(candidate, now);
		if (rate.isEmpty()) {
			send(candidate, now);
		}
		else {
			requestPermit(candidate, rate.get(), now);
		}
	}

	private Optional<TargetRate> rate(EntryTarget target, long now) {
		OptionalDouble coldPerSecond = this.node.view()
			.service(this.service)
			.filter((spec) -> target.cold(now) && spec.coldPerSecond() > 0)
			.map((spec) -> OptionalDouble.of(spec.coldPerSecond()))
			.orElse(OptionalDouble.empty());
		return TargetRate.lowest(this.node.limit(target, now), coldPerSecond);
	}

	private void requestPermit(EntryTarget candidate, TargetRate rate, long now) {
		long maxDelay = maxPermitDelayMillis(candidate, now);
		long nextPermit = candidate.nextPermitMillis(now);
		PermitDecision decision = new PermitDecision(this.node, this, candidate, rate);
		if (nextPermit > maxDelay) {
			decision.notDue(nextPermit);
		}
		else {
			this.permit = this.node.permits().request(candidate.name(), rate, maxDelay, decision);
		}
	}

	// Permits are scarce, so they go to requests that are still answered within the
	// latency objective. A request that another target can run doesn't wait for one.
	private long maxPermitDelayMillis(EntryTarget candidate, long now) {
		double work = candidate.tracker().serviceMillis();
		double elapsed = (now - this.exchange.receivedNanos()) / (double) MILLISECOND;
		double inTime = this.route.targetLatencyMillis() - elapsed - work;
		double admitted = this.node.admission().maxWaitMillis(work, remainingMillis(now), this.route.priority());
		boolean alternatives = !this.sharded && hasUnlimitedTarget(now);
		return alternatives ? 0 : (long) Math.max(0, Math.min(inTime, admitted));
	}

	private boolean hasUnlimitedTarget(long now) {
		return this.node.view()
			.targets(this.service)
			.stream()
			.anyMatch((target) -> !this.refusedBy.contains(target.name()) && !target.tracker().avoided(now)
					&& accepts(target, now) && rate(target, now).isEmpty());
	}

	// Sends the request unless its key has another owner by now, or the target accepts
	// fewer requests by now than when the permit was asked for.
	void sendPermitted(EntryTarget candidate, TargetRate permitted) {
		guarded(() -> sendIfStillPermitted(candidate, permitted));
	}

	private void sendIfStillPermitted(EntryTarget candidate, TargetRate permitted) {
		this.permit = null;
		long now = System.nanoTime();
		boolean stillOwner = !this.sharded
				|| this.node.view().owner(this.service, this.fields.key().orElseThrow()).equals(candidate.name());
		if (stillOwner && current(candidate) && candidate.view().usable() && accepts(candidate, now)
				&& rate(candidate, now).filter(permitted::exceeds).isEmpty()
				&& remainingMillis(now) >= MIN_ATTEMPT_MILLIS && quarantineLeftMillis(now).isEmpty()
				&& !processStopsBefore(now)) {
			send(candidate, now);
		}
		else {
			attempt();
		}
	}

	// Returns whether the incarnation of the target is the one in the view.
	private boolean current(EntryTarget candidate) {
		return this.node.view().target(candidate.name()).filter((target) -> target == candidate).isPresent();
	}

	void permitRefused(EntryTarget candidate, Refusal reason, long delayMillis) {
		guarded(() -> attemptWithoutPermit(candidate, reason, delayMillis));
	}

	private void attemptWithoutPermit(EntryTarget candidate, Refusal reason, long delayMillis) {
		this.permit = null;
		long now = System.nanoTime();
		if (!this.sharded && hasUnlimitedTarget(now)) {
			this.refusedBy.add(candidate.name());
			attempt();
			return;
		}
		double work = candidate.tracker().serviceMillis();
		refuseOrFail(reason, this.node.admission().retryAfterMillis(delayMillis, work, remainingMillis(now)));
	}

	private void send(EntryTarget candidate, long now) {
		long remaining = Math.max(1, (long) remainingMillis(now));
		HttpRequest request = this.node.dialect().targetRequest(this.exchange.request(), candidate.name(), remaining);
		candidate.tracker().sent();
		this.target = candidate;
		this.coldSource = candidate.coldPeriod().source();
		this.coldAgeMillis = candidate.coldPeriod().ageMillis(now);
		this.sentNanos = now;
		this.attempts++;
		this.sends++;
		long timeoutNanos = this.deadlineNanos - now;
		this.call = this.mayHaveRun ? candidate.connections().sendOnNewConnection(request, timeoutNanos, new Attempt())
				: candidate.connections().send(request, timeoutNanos, this.formerCalls, new Attempt());
		this.formerCalls.add(this.call);
	}

	private void responseReceived(HttpResponse response) {
		long now = System.nanoTime();
		ResponseFields responseFields = this.node.dialect().responseFields(response.headers());
		EntryTarget sender = endAttempt();
		responseFields.load().ifPresent((load) -> sender.tracker().loadReported(load.running(), load.waiting(), now));
		responseFields.coldLeftMillis().ifPresent((millis) -> sender.coldPeriod().named(millis, now));
		limitStated(sender, responseFields, now);
		noticesStated(sender, response.status(), responseFields, now);
		if (responseFields.notRun() || response.status() == MISDIRECTED_STATUS) {
			requestNotRun(sender, response.status(), now);
			return;
		}
		this.mayHaveRun = true;
		if (responseFields.signed() && this.node.suspects().any()) {
			this.node.answered(digest(), now);
		}
		boolean success = response.status() < MIN_SERVER_ERROR_STATUS;
		double elapsed = (now - this.sentNanos) / (double) MILLISECOND;
		if ((success && !responseFields.signed()) || responseFields.encoded()) {
			retryOrFail(sender, "not-signed", now);
			return;
		}
		if (success) {
			sender.recordResponse(this.node.expectedMillis(this.route), elapsed);
			sender.tracker().answered(elapsed);
			this.node.recordResponseTime(this.route, elapsed);
		}
		else {
			recordTargetFailure(sender, "status-" + response.status(), now);
			if (tryRetry(sender, "status-" + response.status(), now)) {
				return;
			}
		}
		if (PROMISING_STATUSES.contains(response.status()) && !this.route.kind().repeatable()) {
			// The target doesn't say that it didn't run the request, so the caller must
			// not be told so.
			fail(Refusal.NO_ANSWER, "status-" + response.status());
			return;
		}
		finish(NodeEvent.REQUEST_ANSWERED, "answer", success ? "answered" : "target-failure",
				this.node.dialect().callerResponse(response), 0);
	}

	private void noticesStated(EntryTarget sender, int status, ResponseFields responseFields, long now) {
		if (responseFields.leaving()) {
			this.node.targetLeaves(sender, requestId(), now);
		}
		if (status == UNAVAILABLE_STATUS && responseFields.retryAfterMillis().isPresent()) {
			this.node.targetPauses(sender, responseFields.retryAfterMillis().getAsLong(), requestId(), now);
		}
	}

	// A response without a limit withdraws it only if the target itself produced the
	// response, and not if the request was sent before the limit was observed. A limit is
	// known by the name of its target, so a former incarnation can't state one.
	private void limitStated(EntryTarget sender, ResponseFields responseFields, long now) {
		if (!current(sender)) {
			return;
		}
		OptionalDouble perSecond = responseFields.limitPerSecond();
		boolean withdrawn = perSecond.isEmpty() && (responseFields.signed() || responseFields.notRun())
				&& this.node.limit(sender, now).filter((limit) -> limit.observedNanos() < this.sentNanos).isPresent();
		double value = perSecond.orElse(Observation.NONE);
		if ((perSecond.isPresent() || withdrawn) && this.node.limitStated(sender, value, now)) {
			this.node.events()
				.log(NodeEvent.TARGET_LIMIT, "target", sender.name(), "per-second", value, "request",
						this.fields.id().orElse(""), "view", this.node.view().sequence());
		}
	}

	// Handles a response which states that the target didn't run the request. Status 421
	// means that the target doesn't own the key or isn't the addressed instance.
	private void requestNotRun(EntryTarget sender, int status, long now) {
		logProgress(NodeEvent.ATTEMPT_FAILED, "cause", "not-run-" + status, now);
		this.refusedBy.add(sender.name());
		if (status == MISDIRECTED_STATUS) {
			this.attempts--;
			if (!retryBudget().tryRetry()) {
				refuseOrFail(Refusal.KEY_MOVING, DEFAULT_RETRY_AFTER_MILLIS);
			}
			else if (this.sharded) {
				boolean firstRefusal = this.refusedBy.indexOf(sender.name()) == this.refusedBy
					.lastIndexOf(sender.name());
				waitForOwner(now, firstRefusal ? OWNER_UPDATE_WAIT_NANOS : Long.MAX_VALUE, sender.name());
			}
			else {
				sender.tracker().avoid(MISDIRECTED_AVOID_NANOS, now);
				attempt();
			}
			return;
		}
		if (!this.sharded && this.attempts < this.route.maxAttempts() && retryBudget().tryRetry()) {
			attempt();
			return;
		}
		double remaining = remainingMillis(now);
		long byLoad = this.node.admission()
			.retryAfterMillis(sender.tracker().waitMillis(now) + sender.tracker().serviceMillis(),
					sender.tracker().serviceMillis(), remaining);
		refuseOrFail(Refusal.TARGET_REFUSED, Math.max(byLoad, sender.availability().pauseLeftMillis(now)));
	}

	private void callFailed(CallFailure failure) {
		long now = System.nanoTime();
		EntryTarget sender = endAttempt();
		if (!failure.mayHaveRun() || !this.sharded) {
			recordTargetFailure(sender, failure.cause().name(), now);
		}
		if (failure.mayHaveRun()) {
			this.mayHaveRun = true;
			connectionBroken(sender, failure);
			retryOrFail(sender, failure.cause().name(), now);
			return;
		}
		logProgress(NodeEvent.ATTEMPT_FAILED, "cause", failure.cause().name(), now);
		this.refusedBy.add(sender.name());
		if (!this.sharded && this.attempts < this.route.maxAttempts()) {
			attempt();
		}
		else {
			refuseOrFail(Refusal.UNREACHABLE, DEFAULT_RETRY_AFTER_MILLIS);
		}
	}

	private void connectionBroken(EntryTarget sender, CallFailure failure) {
		if (failure.cause() == CallFailure.Cause.BROKEN_OFF) {
			this.node.events()
				.log(NodeEvent.CONNECTION_BROKEN, "request", this.fields.id().orElse(""), "target", sender.name(),
						"digest", digest(), "sends", this.sends);
			this.node.crashes().connectionBroken(sender, digest());
		}
	}

	// Returns for how long the request must not be sent, empty if it may be sent.
	private OptionalLong quarantineLeftMillis(long now) {
		return this.node.suspects().any() ? this.node.suspects().quarantineLeftMillis(digest(), now)
				: OptionalLong.empty();
	}

	String requestId() {
		return this.fields.id().orElse("");
	}

	private String digest() {
		if (this.digest == null) {
			this.digest = RequestDigest.of(this.exchange.request(), this.fields);
		}
		return this.digest;
	}

	// The sole owner of a key is avoided only if no connection to it can be
	// established. An error response or a lost response doesn't predict the outcome
	// of the next request.
	private void recordTargetFailure(EntryTarget sender, String cause, long now) {
		if (this.sharded && cause.startsWith("status")) {
			return;
		}
		if (sender.tracker().failed(now)) {
			this.node.events()
				.log(NodeEvent.TARGET_AVOIDED, "target", sender.name(), "cause", cause, "config",
						this.node.view().configVersion());
		}
	}

	private void retryOrFail(EntryTarget sender, String cause, long now) {
		if (!tryRetry(sender, cause, now)) {
			fail(Refusal.NO_ANSWER, cause);
		}
	}

	// Sends a request again that may have run, if its kind and the limits on retries
	// allow it.
	private boolean tryRetry(EntryTarget sender, String cause, long now) {
		this.node.events().metrics().count("attempt_failures", cause);
		logProgress(NodeEvent.ATTEMPT_FAILED, "cause", cause, now);
		boolean enoughTime = remainingMillis(now) > sender.tracker().serviceMillis();
		boolean allowed = this.route.kind().repeatable() && !this.callerDisconnected
				&& this.attempts < this.route.maxAttempts() && enoughTime && retryBudget().tryRetry();
		if (allowed) {
			if (!this.sharded) {
				this.refusedBy.add(sender.name());
			}
			attempt();
		}
		return allowed;
	}

	// Waits for the next view, which may name another owner. If maxWaitNanos expires
	// first, the request is attempted again; once less than one and a half times the
	// expected response time remains before the deadline, it is refused.
	private void waitForOwner(long now, long maxWaitNanos, String owner) {
		if (this.waitStartNanos == 0) {
			this.waitStartNanos = now;
		}
		logProgress(NodeEvent.REQUEST_WAITS, "owner", owner, now);
		this.node.waitForView(this);
		double spare = remainingMillis(now) - 1.5 * this.node.expectedMillis(this.route);
		if (spare <= 0) {
			refuseOrFail(Refusal.KEY_MOVING, DEFAULT_RETRY_AFTER_MILLIS);
			return;
		}
		boolean retrySameOwner = maxWaitNanos < spare * MILLISECOND;
		long nanos = Math.min(maxWaitNanos, (long) (spare * MILLISECOND));
		this.ownerWaitTimer = this.node.loop().schedule(nanos, () -> {
			this.ownerWaitTimer = null;
			if (retrySameOwner) {
				guarded(this::attempt);
			}
			else {
				refuseOrFail(Refusal.KEY_MOVING, DEFAULT_RETRY_AFTER_MILLIS);
			}
		});
	}

	private void deadlineExpired() {
		if (this.finished) {
			return;
		}
		cancelCall();
		refuseOrFail(this.mayHaveRun ? Refusal.TIMED_OUT : Refusal.OVERLOADED, 0);
	}

	private void cancelCall() {
		if (this.call != null) {
			this.call.cancel();
			endAttempt();
			this.mayHaveRun = true;
		}
	}

	// Handles a caller that closed its connection. A request that may be repeated is
	// cancelled; any other is left to complete, since cancelling would leave it
	// unknown whether the request has run.
	private void callerDisconnected() {
		if (this.finished) {
			return;
		}
		this.callerDisconnected = true;
		logProgress(NodeEvent.REQUEST_ABANDONED, "kind", this.route.kind(), System.nanoTime());
		boolean leaveRunning = this.call != null && !this.route.kind().repeatable();
		if (leaveRunning) {
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

	private RetryBudget retryBudget() {
		return this.node.retryBudget(this.service);
	}

	private double remainingMillis(long now) {
		return (this.deadlineNanos - now) / (double) MILLISECOND;
	}

	// Fails the request instead of refusing it as retryable if an attempt may have
	// run it, since a refusal allows the caller to send it again.
	private void refuseOrFail(Refusal refusal, long retryAfterMillis) {
		if (this.mayHaveRun && refusal.retryable()) {
			fail(Refusal.NO_ANSWER, refusal.name());
		}
		else {
			refuse(refusal, retryAfterMillis);
		}
	}

	private void refuse(Refusal refusal, long retryAfterMillis) {
		finish((refusal == Refusal.TIMED_OUT) ? NodeEvent.REQUEST_FAILED : NodeEvent.REQUEST_REFUSED, "reason", refusal,
				routerResponse(refusal, retryAfterMillis), retryAfterMillis);
	}

	private void fail(Refusal refusal, String cause) {
		finish(NodeEvent.REQUEST_FAILED, "reason", refusal + " " + cause, routerResponse(refusal, 0), 0);
	}

	private HttpResponse routerResponse(Refusal refusal, long retryAfterMillis) {
		return this.node.dialect()
			.routerResponse(refusal.status(), this.fields.id().orElse(""), refusal.retryable() ? retryAfterMillis : 0);
	}

	private void finish(NodeEvent event, String name, Object value, HttpResponse response, long retryAfterMillis) {
		if (this.finished) {
			return;
		}
		end();
		long now = System.nanoTime();
		this.node.events().metrics().count("requests", String.valueOf(value).split(" ")[0]);
		this.node.events().metrics().record("request_millis", (now - this.exchange.receivedNanos()) / MILLISECOND);
		this.node.events()
			.log(event, "request", this.fields.id().orElse(""), name, value, "status", response.status(), "route",
					(this.route != null) ? this.route.name() : "", "service", this.service, "key",
					this.fields.key().orElse(-1), "target", (this.target != null) ? this.target.name() : "",
					"cold-source", this.coldSource, "cold-age", this.coldAgeMillis, "sends", this.sends, "millis",
					(now - this.exchange.receivedNanos()) / MILLISECOND, "left",
					(this.deadlineNanos - now) / MILLISECOND, "retry-after", retryAfterMillis, "config",
					this.node.view().configVersion(), "view", this.node.view().sequence(), "control-age",
					this.node.leaderContactAgeMillis(now));
		this.exchange.respond(response);
	}

	private void logProgress(NodeEvent event, String name, Object value, long now) {
		this.node.events()
			.log(event, "request", this.fields.id().orElse(""), name, value, "service", this.service, "key",
					this.fields.key().orElse(-1), "target", (this.target != null) ? this.target.name() : "", "sends",
					this.sends, "elapsed", (now - this.exchange.receivedNanos()) / MILLISECOND, "view",
					this.node.view().sequence());
	}

	private void end() {
		this.finished = true;
		this.node.ended(this);
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel();
		}
		cancelOwnerWait();
		this.node.stopWaiting(this);
		if (this.permit != null) {
			this.permit.cancel();
		}
	}

	private void cancelOwnerWait() {
		if (this.ownerWaitTimer != null) {
			this.ownerWaitTimer.cancel();
			this.ownerWaitTimer = null;
		}
	}

	/**
	 * Receives the outcome of one attempt.
	 */
	private final class Attempt implements ClientListener {

		@Override
		public ResponseMatch match(HttpResponse response) {
			try {
				return matchIdentifier(response);
			}
			catch (RuntimeException ex) {
				if (RequestExecution.this.finished) {
					throw ex;
				}
				failUnexpectedly(ex);
				return ResponseMatch.OTHER;
			}
		}

		private ResponseMatch matchIdentifier(HttpResponse response) {
			ResponseMatch match = RequestExecution.this.node.dialect()
				.responseFields(response.headers())
				.requestId()
				.map((id) -> id.equals(requestId()) ? ResponseMatch.OWN : ResponseMatch.OTHER)
				.orElse(ResponseMatch.UNIDENTIFIED);
			if (match != ResponseMatch.OWN) {
				logProgress(NodeEvent.RESPONSE_MISMATCH, "match", match + " " + response.status(), System.nanoTime());
			}
			return match;
		}

		@Override
		public void answered(HttpResponse response) {
			guarded(() -> responseReceived(response));
		}

		@Override
		public void failed(CallFailure failure) {
			guarded(() -> callFailed(failure));
		}

	}

}
