package org.redwingramp.bench.soak;

import org.redwingramp.bench.soak.ServiceRequest.Answer;
import org.redwingramp.core.control.RequestIdentity;

/**
 * Callers that send lookups and at-most-once requests, and resend the latter through
 * randomly chosen entry instances. Not thread safe.
 */
final class SimulatedCallers {

	private static final long INTERVAL_MILLIS = 12;

	private static final int KEYS = 12;

	private static final int MAX_RESENDS = 3;

	private final ControlWorkload workload;

	private final SimulatedProcess caller;

	private long submissions;

	private long requests;

	SimulatedCallers(ControlWorkload workload) {
		this.workload = workload;
		this.caller = new SimulatedProcess("callers", workload.cluster().simulation());
	}

	void start() {
		simulation().every(INTERVAL_MILLIS, this::sendRequest);
	}

	private void sendRequest() {
		String key = "wok-" + simulation().random().nextInt(KEYS);
		boolean atMostOnce = simulation().chance(0.5);
		RequestIdentity identity = new RequestIdentity(ControlWorkload.SERVICE, "id-" + (++this.requests),
				ControlWorkload.START_MILLIS + simulation().nowMillis());
		submit(key, atMostOnce, identity, MAX_RESENDS);
		if (atMostOnce && simulation().chance(0.2)) {
			this.workload.cluster().trace().fault("request sent through two entries");
			submit(key, true, identity, 0);
		}
	}

	private void submit(String key, boolean atMostOnce, RequestIdentity identity, int resends) {
		ServiceRequest request = new ServiceRequest(++this.submissions, key, atMostOnce, identity);
		EntryProcess entry = this.workload.anyEntry();
		SimulatedNetwork network = this.workload.cluster().network();
		boolean[] replied = new boolean[1];
		network.sendOnce(this.caller.name(), entry.name(), () -> entry.run(() -> new EntryRequestHandler(entry)
			.receive(request, (answer) -> network.sendOnce(entry.name(), this.caller.name(), () -> {
				replied[0] = true;
				this.workload.checks().answerReceived(request, answer);
				if (atMostOnce && resends > 0 && (answer != Answer.ANSWERED || simulation().chance(0.1))) {
					resend(key, identity, resends);
				}
			}))));
		this.caller.runAfter(simulation().between(300, 4000), () -> {
			if (!replied[0] && atMostOnce && resends > 0) {
				resend(key, identity, resends);
			}
		});
	}

	private void resend(String key, RequestIdentity identity, int resends) {
		this.workload.cluster().trace().fault("request resent");
		this.caller.runAfter(simulation().between(10, 500), () -> submit(key, true, identity, resends - 1));
	}

	private Simulation simulation() {
		return this.workload.cluster().simulation();
	}

}
