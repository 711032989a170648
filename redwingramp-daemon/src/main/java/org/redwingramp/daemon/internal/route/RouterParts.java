package org.redwingramp.daemon.internal.route;

import java.util.function.LongSupplier;

import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.gate.GateService;

/**
 * What the router is made of. Immutable.
 *
 * @param session the session with the control group
 * @param classifier finds service, class, key and deadline
 * @param finder finds target and gate
 * @param gates the gates of this instance
 * @param peers the gates of other instances
 * @param loads the known loads of targets
 * @param health the policies of each service
 * @param hedger sends a second time after a delay
 * @param clock the monotonic clock in nanoseconds
 */
record RouterParts(EntrySession session, RequestClassifier classifier, DestinationFinder finder, GateService gates,
		GatePeer peers, TargetLoads loads, ServiceHealth health, Hedger hedger, LongSupplier clock) {
}
