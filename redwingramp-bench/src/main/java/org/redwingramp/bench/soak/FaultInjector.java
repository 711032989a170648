package org.redwingramp.bench.soak;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Injects random faults into the control replicas, the network and the workload. A disk
 * is lost only while every replica is a voter of the current membership, since the
 * protocol tolerates the loss of one disk at a time and another one right after a repair.
 * Not thread safe.
 */
final class FaultInjector {

	private static final double DISK_LOSS_PROBABILITY = 0.35;

	/**
	 * Longer than every timeout except those of callers, so that messages also arrive
	 * after a timeout.
	 */
	private static final int MAX_DELAY_MILLIS = 700;

	private final SimulatedCluster cluster;

	private final Random random;

	private boolean ended;

	FaultInjector(SimulatedCluster cluster) {
		this.cluster = cluster;
		this.random = cluster.simulation().random();
	}

	void start() {
		schedule();
		this.cluster.replicaChecks()
			.onMembership(() -> this.cluster.simulation()
				.after(this.cluster.simulation().between(0, 30), this::loseDiskAfterRepair));
	}

	void end() {
		this.ended = true;
		this.cluster.network().heal();
		this.cluster.network().setConditions(0, 0, 1);
		this.cluster.replicas().forEach((process) -> {
			process.resume();
			process.start();
		});
		this.cluster.workload().endFaults();
		this.cluster.trace().log("faults end");
	}

	private void schedule() {
		this.cluster.simulation().after(this.cluster.simulation().between(20, 500), () -> {
			if (!this.ended) {
				inject();
				schedule();
			}
		});
	}

	private void inject() {
		ReplicaProcess process = pickReplica();
		switch (this.random.nextInt(20)) {
			case 0, 1 -> crash(process);
			case 2 -> loseDisk(process);
			case 3, 4 -> pause(process);
			case 5 -> isolate(process);
			case 6 -> cutOneWay(process, pickReplica());
			case 7 -> degradeNetwork();
			case 8 -> heal();
			case 9 -> crashAll();
			case 10 -> cutPair(process, pickReplica());
			case 11 -> restartBetweenCutReplicas();
			default -> this.cluster.workload().injectFault();
		}
	}

	private ReplicaProcess pickReplica() {
		List<ReplicaProcess> all = this.cluster.replicas();
		Optional<ReplicaProcess> leader = all.stream().filter(ReplicaProcess::mayRead).findFirst();
		return (this.random.nextInt(3) == 0) ? leader.orElse(all.get(0)) : all.get(this.random.nextInt(all.size()));
	}

	private void crash(ReplicaProcess process) {
		if (process.running()) {
			this.cluster.trace().fault("crash", process.name());
			process.stop();
			restartLater(process);
		}
	}

	private void crashAll() {
		if (this.random.nextInt(3) == 0) {
			this.cluster.replicas().forEach(this::crash);
		}
	}

	private void loseDisk(ReplicaProcess process) {
		if (mayLoseDisk() && process.running()) {
			this.cluster.trace().fault("disk lost", process.id().toString());
			process.stop();
			process.loseDisk();
			restartLater(process);
		}
	}

	private void loseDiskAfterRepair() {
		if (!this.ended && mayLoseDisk() && this.cluster.simulation().chance(DISK_LOSS_PROBABILITY)) {
			this.cluster.trace().fault("loss right after a repair");
			loseDisk(this.cluster.replicas().get(this.random.nextInt(3)));
		}
	}

	private boolean mayLoseDisk() {
		return this.cluster.replicaChecks()
			.membership()
			.filter((membership) -> membership.voters().size() == this.cluster.replicas().size()
					&& this.cluster.replicas()
						.stream()
						.allMatch((process) -> membership.voters().contains(process.id())))
			.isPresent();
	}

	private void restartLater(ReplicaProcess process) {
		this.cluster.simulation().after(this.cluster.simulation().between(1, 1500), process::start);
	}

	private void pause(ReplicaProcess process) {
		if (process.active()) {
			this.cluster.trace().fault("pause", process.name());
			process.pause();
			this.cluster.simulation().after(this.cluster.simulation().between(20, 1500), process::resume);
		}
	}

	private void isolate(ReplicaProcess process) {
		this.cluster.trace().fault("isolation", process.name());
		this.cluster.replicas().forEach((other) -> {
			this.cluster.network().cut(process.name(), other.name());
			this.cluster.network().cut(other.name(), process.name());
		});
		healLater();
	}

	private void cutOneWay(ReplicaProcess sender, ReplicaProcess receiver) {
		this.cluster.trace().fault("one-way cut", sender.name() + " to " + receiver.name());
		this.cluster.network().cut(sender.name(), receiver.name());
		healLater();
	}

	private void cutPair(ReplicaProcess one, ReplicaProcess other) {
		this.cluster.trace().fault("partial partition", one.name() + " and " + other.name());
		this.cluster.network().cut(one.name(), other.name());
		this.cluster.network().cut(other.name(), one.name());
		healLater();
	}

	// The third replica is in contact with the leader, loses that information by a
	// restart, and then receives a vote request from the replica that is cut off from the
	// leader.
	private void restartBetweenCutReplicas() {
		int first = this.random.nextInt(3);
		cutPair(this.cluster.replicas().get(first), this.cluster.replicas().get((first + 1) % 3));
		ReplicaProcess third = this.cluster.replicas().get((first + 2) % 3);
		this.cluster.simulation().after(this.cluster.simulation().between(100, 450), () -> {
			if (third.running()) {
				this.cluster.trace().fault("quick restart", third.name());
				third.stop();
				this.cluster.simulation().after(this.cluster.simulation().between(1, 20), third::start);
			}
		});
	}

	private void degradeNetwork() {
		this.cluster.trace().fault("bad network");
		this.cluster.network()
			.setConditions(this.random.nextDouble() * 0.2, this.random.nextDouble() * 0.3,
					1 + this.random.nextInt(MAX_DELAY_MILLIS));
		this.cluster.simulation()
			.after(this.cluster.simulation().between(100, 2000),
					() -> this.cluster.network().setConditions(0.001, 0.001, 2));
	}

	private void heal() {
		this.cluster.network().heal();
	}

	private void healLater() {
		this.cluster.simulation().after(this.cluster.simulation().between(100, 2500), this::heal);
	}

}
