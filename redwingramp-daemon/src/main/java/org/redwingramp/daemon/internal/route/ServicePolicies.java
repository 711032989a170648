package org.redwingramp.daemon.internal.route;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.HedgePolicies;
import org.redwingramp.core.routing.HedgePolicy;
import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.routing.RetryBudgets;
import org.redwingramp.core.routing.StragglerDetector;
import org.redwingramp.core.routing.StragglerDetectors;

/**
 * The straggler detection, retry budget and hedging policy of each service on this
 * instance. They are created at the first request of a service. Thread safe; the policies
 * of a service are guarded by a lock.
 */
public final class ServicePolicies {

	/** The retries available before the first request, and the maximum saved up. */
	private static final int MIN_RETRIES = 3;

	private final LongSupplier clock;

	private final Map<String, Policies> services = new ConcurrentHashMap<>();

	/**
	 * Creates an instance without services.
	 * @param clock the monotonic clock in nanoseconds
	 */
	public ServicePolicies(LongSupplier clock) {
		this.clock = clock;
	}

	void firstAttemptStarted(String service) {
		withPolicies(service, (policies) -> {
			policies.budget.firstAttemptSent();
			return null;
		});
	}

	boolean tryRetry(String service) {
		return withPolicies(service, (policies) -> policies.budget.tryRetry());
	}

	OptionalLong hedgeDelay(String service, RequestClass requestClass) {
		return withPolicies(service, (policies) -> policies.hedges.delay(requestClass));
	}

	boolean tryHedge(String service) {
		return withPolicies(service, (policies) -> policies.hedges.tryHedge());
	}

	void answerReceived(String service, String target, long serviceNanos, long totalNanos) {
		withPolicies(service, (policies) -> {
			policies.stragglers.responseReceived(target, serviceNanos, this.clock.getAsLong());
			policies.hedges.responseReceived(totalNanos);
			return null;
		});
	}

	void answerMissing(String service, String target, long waitedNanos) {
		withPolicies(service, (policies) -> {
			policies.stragglers.responseMissing(target, waitedNanos, this.clock.getAsLong());
			return null;
		});
	}

	Set<String> ejectedTargets(String service) {
		return withPolicies(service, (policies) -> policies.stragglers.ejectedTargets(this.clock.getAsLong()));
	}

	/**
	 * Returns the targets that are slow compared with the others of their service.
	 * @return the ratio of the target's service time to the median of its service, by
	 * name of the target
	 */
	public Map<String, Double> slowTargets() {
		Map<String, Double> slow = new ConcurrentHashMap<>();
		this.services.keySet()
			.forEach((service) -> slow
				.putAll(withPolicies(service, (policies) -> policies.stragglers.slowTargets(this.clock.getAsLong()))));
		return slow;
	}

	private <T> T withPolicies(String service, Function<Policies, T> action) {
		Policies policies = this.services.computeIfAbsent(service, (name) -> new Policies());
		synchronized (policies) {
			return action.apply(policies);
		}
	}

	private static final class Policies {

		private final RetryBudget budget = RetryBudgets.ratio(RetryBudgets.DEFAULT_SHARE, MIN_RETRIES);

		private final HedgePolicy hedges = HedgePolicies.quantile(HedgePolicies.DEFAULT_QUANTILE, this.budget);

		private final StragglerDetector stragglers = StragglerDetectors.create();

	}

}
