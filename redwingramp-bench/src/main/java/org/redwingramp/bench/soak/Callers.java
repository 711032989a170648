package org.redwingramp.bench.soak;

import org.redwingramp.bench.soak.ServiceRequest.Answer;
import org.redwingramp.core.control.RequestIdentity;

/**
 * Callers that send lookups and requests that run at most once, and resend the latter
 * through other entries. Not thread safe.
 */
final class Callers {

	private static final long INTERVAL_MILLIS = 12;

	private static final int KEYS = 12;

	private static final int MAX_RESENDS = 3;

	private final ControlWorkload workload;

	private final SimulatedProcess caller;

	private long submissions;

	private long requests;

	Callers(ControlWorkload workload) {
		this.workload = workload;
		this.caller = new SimulatedProcess("callers", workload.world().simulation());
	}

	void start() {
		simulation().every(INTERVAL_MILLIS, this::request);
	}

	private void request() {
		String key = "wok-" + simulation().random().nextInt(KEYS);
		boolean atMostOnce = simulation().chance(0.5);
		RequestIdentity identity = new RequestIdentity(ControlWorkload.SERVICE, "id-" + (++this.requests),
				ControlWorkload.START_MILLIS + simulation().nowMillis());
		submit(key, atMostOnce, identity, MAX_RESENDS);
		if (atMostOnce && simulation().chance(0.2)) {
			this.workload.world().trace().fault("request sent through two entries");
			submit(key, true, identity, 0);
		}
	}

	private void submit(String key, boolean atMostOnce, RequestIdentity identity, int resends) {
		ServiceRequest request = new ServiceRequest(++this.submissions, key, atMostOnce, identity);
		EntryProcess entry = this.workload.anyEntry();
		SimulatedNetwork network = this.workload.world().network();
		boolean[] heard = new boolean[1];
		network.sendOnce(this.caller.name(), entry.name(), () -> entry.run(() -> new RequestPath(entry).receive(request,
				(answer) -> network.sendOnce(entry.name(), this.caller.name(), () -> {
					heard[0] = true;
					this.workload.checks().answer(request, answer);
					if (atMostOnce && resends > 0 && (answer != Answer.ANSWERED || simulation().chance(0.1))) {
						resend(key, identity, resends);
					}
				}))));
		this.caller.runAfter(simulation().between(300, 4000), () -> {
			if (!heard[0] && atMostOnce && resends > 0) {
				resend(key, identity, resends);
			}
		});
	}

	private void resend(String key, RequestIdentity identity, int resends) {
		this.workload.world().trace().fault("request resent");
		this.caller.runAfter(simulation().between(10, 500), () -> submit(key, true, identity, resends - 1));
	}

	private Simulation simulation() {
		return this.workload.world().simulation();
	}

}
