package org.redwingramp.bench.soak;

import java.util.HashSet;
import java.util.Set;

/**
 * Delivers messages between named processes with random delay, loss, duplication and
 * one-way cuts. Not thread safe.
 */
final class SimulatedNetwork {

	private final Simulation simulation;

	private final Trace trace;

	private final Set<String> cuts = new HashSet<>();

	private double loss;

	private double duplication;

	private long maxDelayMillis = 1;

	SimulatedNetwork(Simulation simulation, Trace trace) {
		this.simulation = simulation;
		this.trace = trace;
	}

	void setConditions(double lossRate, double duplicationRate, long maxDelay) {
		this.loss = lossRate;
		this.duplication = duplicationRate;
		this.maxDelayMillis = maxDelay;
	}

	void cut(String sender, String receiver) {
		this.cuts.add(sender + ">" + receiver);
	}

	void heal() {
		this.cuts.clear();
	}

	boolean isCut(String sender, String receiver) {
		return this.cuts.contains(sender + ">" + receiver);
	}

	boolean connected(String one, String other) {
		return !isCut(one, other) && !isCut(other, one);
	}

	void send(String sender, String receiver, Runnable delivery) {
		if (isCut(sender, receiver)) {
			this.trace.fault("message cut");
			return;
		}
		if (this.simulation.chance(this.loss)) {
			this.trace.fault("message lost");
			return;
		}
		deliver(sender, receiver, delivery);
		if (this.simulation.chance(this.duplication)) {
			this.trace.fault("message duplicated");
			deliver(sender, receiver, delivery);
		}
	}

	// Sends a message that is never duplicated, as on a connection.
	void sendOnce(String sender, String receiver, Runnable delivery) {
		if (isCut(sender, receiver)) {
			this.trace.fault("message cut");
		}
		else if (this.simulation.chance(this.loss)) {
			this.trace.fault("message lost");
		}
		else {
			deliver(sender, receiver, delivery);
		}
	}

	private void deliver(String sender, String receiver, Runnable delivery) {
		long delay = this.simulation.random()
			.nextLong(Simulation.MILLISECOND / 4, this.maxDelayMillis * Simulation.MILLISECOND + 1);
		if (delay > 10 * Simulation.MILLISECOND) {
			this.trace.fault("message delayed");
		}
		this.simulation.after(delay, () -> {
			if (!isCut(sender, receiver)) {
				delivery.run();
			}
		});
	}

}
