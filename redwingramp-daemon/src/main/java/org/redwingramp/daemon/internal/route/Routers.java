package org.redwingramp.daemon.internal.route;

import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.redwingramp.core.routing.TargetChoosers;
import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.gate.GateService;

/**
 * Creates request routers. Stateless and thread safe.
 */
public final class Routers {

	private Routers() {
	}

	/**
	 * Creates the router of an instance.
	 * @param instance the instance's name
	 * @param session the session with the control group
	 * @param gates the gates that this instance holds
	 * @param peers forwards requests to the gates of other instances
	 * @param policies the retry, hedging and ejection policies of each service
	 * @param executor runs the sends of requests that may be hedged
	 * @param clock the monotonic clock in nanoseconds
	 * @return the router
	 */
	public static RequestRouter create(String instance, EntrySession session, GateService gates, GatePeer peers,
			ServicePolicies policies, Executor executor, LongSupplier clock) {
		TargetLoads loads = new TargetLoads();
		DestinationFinder finder = new DestinationFinder(instance, TargetChoosers.powerOfTwo(new SecureRandom()), loads,
				policies);
		return new RequestRouter(new RouterDependencies(session, new RequestClassifier(System::currentTimeMillis),
				finder, gates, peers, loads, policies, new Hedger(executor), clock));
	}

}
