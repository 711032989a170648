package org.redwingramp.bench.soak;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Injects random faults of the control replicas and the network. A disk is lost only
 * while all replicas of the group in force have theirs, since one loss at a time is
 * tolerated, plus one right after a repair. Not thread safe.
 */
final class FaultPlan {

	private static final double DISK_LOSS = 0.35;

	/** Above every timeout but those of callers, so that messages arrive after them. */
	private static final int MAX_DELAY_MILLIS = 700;

	private final World world;

	private final Random random;

	private boolean ended;

	FaultPlan(World world) {
		this.world = world;
		this.random = world.simulation().random();
	}

	void start() {
		schedule();
		this.world.replicaChecks()
			.onMembership(() -> this.world.simulation()
				.after(this.world.simulation().between(0, 30), this::loseDiskRightAfterARepair));
	}

	void end() {
		this.ended = true;
		this.world.network().heal();
		this.world.network().weather(0, 0, 1);
		this.world.replicas().forEach((process) -> {
			process.resume();
			process.start();
		});
		this.world.workload().endFaults();
		this.world.trace().note("faults end");
	}

	private void schedule() {
		this.world.simulation().after(this.world.simulation().between(20, 500), () -> {
			if (!this.ended) {
				inject();
				schedule();
			}
		});
	}

	private void inject() {
		ReplicaProcess process = pick();
		switch (this.random.nextInt(20)) {
			case 0, 1 -> crash(process);
			case 2 -> loseDisk(process);
			case 3, 4 -> pause(process);
			case 5 -> isolate(process);
			case 6 -> cutOneWay(process, pick());
			case 7 -> weather();
			case 8 -> heal();
			case 9 -> crashAll();
			case 10 -> cutPair(process, pick());
			case 11 -> restartBetweenCutReplicas();
			default -> this.world.workload().injectFault();
		}
	}

	private ReplicaProcess pick() {
		List<ReplicaProcess> all = this.world.replicas();
		Optional<ReplicaProcess> leader = all.stream().filter(ReplicaProcess::mayRead).findFirst();
		return (this.random.nextInt(3) == 0) ? leader.orElse(all.get(0)) : all.get(this.random.nextInt(all.size()));
	}

	private void crash(ReplicaProcess process) {
		if (process.running()) {
			this.world.trace().fault("crash", process.name());
			process.stop();
			restartLater(process);
		}
	}

	private void crashAll() {
		if (this.random.nextInt(3) == 0) {
			this.world.replicas().forEach(this::crash);
		}
	}

	private void loseDisk(ReplicaProcess process) {
		if (mayLoseDisk() && process.running()) {
			this.world.trace().fault("disk lost", process.id().toString());
			process.stop();
			process.loseDisk();
			restartLater(process);
		}
	}

	private void loseDiskRightAfterARepair() {
		if (!this.ended && mayLoseDisk() && this.world.simulation().chance(DISK_LOSS)) {
			this.world.trace().fault("loss right after a repair");
			loseDisk(this.world.replicas().get(this.random.nextInt(3)));
		}
	}

	private boolean mayLoseDisk() {
		return this.world.replicaChecks()
			.membership()
			.filter((group) -> group.voters().size() == this.world.replicas().size()
					&& this.world.replicas().stream().allMatch((process) -> group.voters().contains(process.id())))
			.isPresent();
	}

	private void restartLater(ReplicaProcess process) {
		this.world.simulation().after(this.world.simulation().between(1, 1500), process::start);
	}

	private void pause(ReplicaProcess process) {
		if (process.active()) {
			this.world.trace().fault("pause", process.name());
			process.pause();
			this.world.simulation().after(this.world.simulation().between(20, 1500), process::resume);
		}
	}

	private void isolate(ReplicaProcess process) {
		this.world.trace().fault("isolation", process.name());
		this.world.replicas().forEach((other) -> {
			this.world.network().cut(process.name(), other.name());
			this.world.network().cut(other.name(), process.name());
		});
		healLater();
	}

	private void cutOneWay(ReplicaProcess sender, ReplicaProcess receiver) {
		this.world.trace().fault("one-way cut", sender.name() + " to " + receiver.name());
		this.world.network().cut(sender.name(), receiver.name());
		healLater();
	}

	private void cutPair(ReplicaProcess one, ReplicaProcess other) {
		this.world.trace().fault("partial partition", one.name() + " and " + other.name());
		this.world.network().cut(one.name(), other.name());
		this.world.network().cut(other.name(), one.name());
		healLater();
	}

	// The third replica still hears the leader, forgets that by a restart, and is asked
	// for its vote by the replica that doesn't hear the leader.
	private void restartBetweenCutReplicas() {
		int first = this.random.nextInt(3);
		cutPair(this.world.replicas().get(first), this.world.replicas().get((first + 1) % 3));
		ReplicaProcess third = this.world.replicas().get((first + 2) % 3);
		this.world.simulation().after(this.world.simulation().between(100, 450), () -> {
			if (third.running()) {
				this.world.trace().fault("quick restart", third.name());
				third.stop();
				this.world.simulation().after(this.world.simulation().between(1, 20), third::start);
			}
		});
	}

	private void weather() {
		this.world.trace().fault("bad network");
		this.world.network()
			.weather(this.random.nextDouble() * 0.2, this.random.nextDouble() * 0.3,
					1 + this.random.nextInt(MAX_DELAY_MILLIS));
		this.world.simulation()
			.after(this.world.simulation().between(100, 2000), () -> this.world.network().weather(0.001, 0.001, 2));
	}

	private void heal() {
		this.world.network().heal();
	}

	private void healLater() {
		this.world.simulation().after(this.world.simulation().between(100, 2500), this::heal);
	}

}
