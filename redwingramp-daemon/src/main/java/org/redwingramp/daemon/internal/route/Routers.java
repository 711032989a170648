package org.redwingramp.daemon.internal.route;

import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.redwingramp.core.routing.TargetChoosers;
import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.gate.GateService;

/**
 * Puts routers together. Stateless and thread safe.
 */
public final class Routers {

	private Routers() {
	}

	/**
	 * Creates the router of an instance.
	 * @param instance the instance's name
	 * @param session the session with the control group
	 * @param gates the gates of this instance
	 * @param peers the gates of other instances
	 * @param health the policies of each service
	 * @param executor runs hedged requests
	 * @param clock the monotonic clock in nanoseconds
	 * @return the router
	 */
	public static RequestRouter create(String instance, EntrySession session, GateService gates, GatePeer peers,
			ServiceHealth health, Executor executor, LongSupplier clock) {
		TargetLoads loads = new TargetLoads();
		DestinationFinder finder = new DestinationFinder(instance, TargetChoosers.powerOfTwo(new SecureRandom()), loads,
				health);
		return new RequestRouter(new RouterParts(session, new RequestClassifier(System::currentTimeMillis), finder,
				gates, peers, loads, health, new Hedger(executor), clock));
	}

}
