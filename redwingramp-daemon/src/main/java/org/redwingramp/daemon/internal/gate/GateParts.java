package org.redwingramp.daemon.internal.gate;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.eclipse.jetty.client.HttpClient;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.daemon.internal.control.ControlClient;

/**
 * What the gates of an instance are made of. Immutable.
 *
 * @param instance the instance's name
 * @param requests the HTTP client for requests
 * @param grants the HTTP client for grants, apart from requests so that a grant never
 * waits for a connection
 * @param control the control leader
 * @param background runs what nobody waits for
 * @param timing the leases
 * @param maxAnswerBytes the largest answer of a target
 * @param clock the monotonic clock in nanoseconds
 */
public record GateParts(String instance, HttpClient requests, HttpClient grants, ControlClient control,
		Executor background, ControlTiming timing, int maxAnswerBytes, LongSupplier clock) {

	/**
	 * Puts the gates together.
	 * @param <S> the type of the session
	 * @param session decides what may be granted and sent
	 * @param slowTargets returns the targets found slow
	 * @return the gates
	 */
	public <S extends GrantAuthority & DispatchPermission> Gates create(S session,
			Supplier<Map<String, Double>> slowTargets) {
		GateRegistry registry = new GateRegistry(this.instance, this.clock);
		ShardLoads loads = new ShardLoads();
		AtMostOnce atMostOnce = new AtMostOnce(new ReplicatedLedger(this.control, this.background, this.clock),
				this.instance, this.clock);
		GateService service = new GateService(registry,
				new JettyTargetCaller(this.requests, this.clock, this.maxAnswerBytes), atMostOnce, session, loads,
				this.clock);
		GateKeeper keeper = new GateKeeper(registry, session,
				new JettyGrantSender(this.grants, this.timing.grantTimeoutNanos()), loads, slowTargets, this.timing,
				this.clock);
		return new Gates(service, keeper, registry);
	}

	/**
	 * The gates of an instance. Immutable.
	 *
	 * @param service serves requests
	 * @param keeper keeps the gates in step with the view
	 * @param registry the gates themselves
	 */
	public record Gates(GateService service, GateKeeper keeper, GateRegistry registry) {
	}

}
