package org.redwingramp.daemon.internal.gate;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.eclipse.jetty.client.HttpClient;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.daemon.internal.control.ControlClient;

/**
 * Creates the gates of an entry instance from its HTTP clients, settings and control
 * client. Immutable.
 *
 * @param instance the instance's name
 * @param requests the HTTP client for requests to targets
 * @param grants the HTTP client for grants, separate from that for requests so that a
 * grant never waits for a connection
 * @param control sends commands to the control leader
 * @param background runs tasks whose result is not awaited
 * @param timing the durations of leases and grant time-outs
 * @param maxAnswerBytes the maximum size of a target's response body in bytes
 * @param clock the monotonic clock in nanoseconds
 */
public record GateFactory(String instance, HttpClient requests, HttpClient grants, ControlClient control,
		Executor background, ControlTiming timing, int maxAnswerBytes, LongSupplier clock) {

	/**
	 * Creates the components of the gates.
	 * @param <S> the type of the session
	 * @param session decides what may be granted to targets and sent to them
	 * @param slowTargets returns the slowness of the targets that were detected as slow,
	 * by target name
	 * @return the components
	 */
	public <S extends GrantAuthority & DispatchPermission> Gates create(S session,
			Supplier<Map<String, Double>> slowTargets) {
		GateRegistry registry = new GateRegistry(this.instance, this.clock);
		ShardLoadStatistics loads = new ShardLoadStatistics();
		AtMostOnceExecutor atMostOnce = new AtMostOnceExecutor(
				new ReplicatedLedger(this.control, this.background, this.clock), this.instance, this.clock);
		GateService service = new GateService(registry,
				new JettyTargetClient(this.requests, this.clock, this.maxAnswerBytes), atMostOnce, session, loads,
				this.clock);
		GrantManager grantManager = new GrantManager(registry, session,
				new JettyGrantSender(this.grants, this.timing.grantTimeoutNanos()), loads, slowTargets, this.timing,
				this.clock);
		return new Gates(service, grantManager, registry);
	}

	/**
	 * The components of the gates of an entry instance. Immutable.
	 *
	 * @param service serves requests at the gates
	 * @param grantManager opens and closes the gates as the view changes
	 * @param registry holds the gates by target
	 */
	public record Gates(GateService service, GrantManager grantManager, GateRegistry registry) {
	}

}
