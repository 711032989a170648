package org.redwingramp.daemon.internal.route;

import java.util.function.LongSupplier;

import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.gate.GateService;

/**
 * The collaborators of a {@link RequestRouter}. Immutable.
 *
 * @param session the session with the control group
 * @param classifier determines service, request class, key and deadline
 * @param finder selects target and gate
 * @param gates the gates that this instance holds
 * @param peers forwards requests to the gates of other instances
 * @param loads the known load of each target
 * @param policies the retry, hedging and ejection policies of each service
 * @param hedger starts a second send after a delay
 * @param clock the monotonic clock in nanoseconds
 */
record RouterDependencies(EntrySession session, RequestClassifier classifier, DestinationFinder finder,
		GateService gates, GatePeer peers, TargetLoads loads, ServicePolicies policies, Hedger hedger,
		LongSupplier clock) {
}
