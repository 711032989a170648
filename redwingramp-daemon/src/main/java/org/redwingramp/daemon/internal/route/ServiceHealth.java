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
 * Straggler detection, retry budget and hedging of each service on this instance. Thread
 * safe; each service's policies are guarded by a lock.
 */
public final class ServiceHealth {

	private static final int MIN_RETRIES = 3;

	private final LongSupplier clock;

	private final Map<String, Policies> services = new ConcurrentHashMap<>();

	/**
	 * Creates the policies.
	 * @param clock the monotonic clock in nanoseconds
	 */
	public ServiceHealth(LongSupplier clock) {
		this.clock = clock;
	}

	void requested(String service) {
		with(service, (policies) -> {
			policies.budget.requested();
			return null;
		});
	}

	boolean tryRetry(String service) {
		return with(service, (policies) -> policies.budget.tryRetry());
	}

	OptionalLong hedgeDelay(String service, RequestClass requestClass) {
		return with(service, (policies) -> policies.hedges.delay(requestClass));
	}

	boolean tryHedge(String service) {
		return with(service, (policies) -> policies.hedges.tryHedge());
	}

	void answered(String service, String target, long serviceNanos, long totalNanos) {
		with(service, (policies) -> {
			policies.stragglers.answered(target, serviceNanos, this.clock.getAsLong());
			policies.hedges.answered(totalNanos);
			return null;
		});
	}

	void unanswered(String service, String target, long waitedNanos) {
		with(service, (policies) -> {
			policies.stragglers.unanswered(target, waitedNanos, this.clock.getAsLong());
			return null;
		});
	}

	Set<String> ejected(String service) {
		return with(service, (policies) -> policies.stragglers.ejected(this.clock.getAsLong()));
	}

	/**
	 * Returns the targets found slow.
	 * @return the ratio of their service time to the median of their service, by target
	 */
	public Map<String, Double> slowTargets() {
		Map<String, Double> slow = new ConcurrentHashMap<>();
		this.services.keySet()
			.forEach((service) -> slow
				.putAll(with(service, (policies) -> policies.stragglers.slow(this.clock.getAsLong()))));
		return slow;
	}

	private <T> T with(String service, Function<Policies, T> action) {
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
