package org.redwingramp.bench.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.redwingramp.core.consensus.Membership;

/**
 * One independent run: faults for some seconds, then a time in which everything has to
 * work again. Stateless and thread safe.
 */
public final class Round {

	private static final long FAULTS_MILLIS = 12_000;

	/** Above the slow path of a repair, which waits ten election timeouts. */
	private static final long RECOVERY_MILLIS = 20_000;

	private static final long STEP_MILLIS = 100;

	private Round() {
	}

	/**
	 * Runs a round: with the append machine for an even seed, with the control state for
	 * an odd one.
	 * @param seed the seed, which alone determines the run
	 * @return what happened
	 */
	public static Result run(long seed) {
		return ((seed & 1) == 0) ? run(seed, AppendWorkload::new) : run(seed, ControlWorkload::new);
	}

	static Result run(long seed, Function<World, Workload> workloads) {
		World world = new World(seed, workloads);
		FaultPlan plan = new FaultPlan(world);
		plan.start();
		Simulation simulation = world.simulation();
		simulation.runUntil(FAULTS_MILLIS * Simulation.MILLISECOND);
		plan.end();
		long end = (FAULTS_MILLIS + RECOVERY_MILLIS) * Simulation.MILLISECOND;
		while (!simulation.stopped() && simulation.now() < end && !missing(world).isEmpty()) {
			simulation.runUntil(simulation.now() + STEP_MILLIS * Simulation.MILLISECOND);
		}
		world.replicaChecks().checkLogs();
		if (!simulation.stopped() && !missing(world).isEmpty()) {
			world.replicas().forEach((process) -> process.describe().forEach(world.trace()::note));
			world.trace().violation("no progress after the faults ended: " + missing(world));
		}
		return new Result(seed, simulation.events(), world.replicaChecks().committedEntries(),
				Map.copyOf(world.workload().work()), Map.copyOf(world.trace().faults()), world.trace().violations(),
				world.trace().lines());
	}

	private static String missing(World world) {
		Optional<Membership> group = world.replicaChecks().membership();
		boolean repaired = group.isPresent()
				&& world.replicas().stream().allMatch((process) -> group.get().voters().contains(process.id()));
		if (!repaired) {
			return "the group isn't whole";
		}
		long applied = world.replicaChecks().committedEntries();
		if (world.replicas().stream().anyMatch((process) -> process.applied() + 20 < applied)) {
			return "a replica lags";
		}
		return world.workload().missing();
	}

	/**
	 * What happened in a round. Immutable and thread safe.
	 *
	 * @param seed the round's seed
	 * @param events the number of events
	 * @param committed the number of committed entries
	 * @param work what the workload did, by kind
	 * @param faults the number of faults by kind
	 * @param violations the violated invariants
	 * @param trace the last notable events
	 */
	public record Result(long seed, long events, long committed, Map<String, Long> work, Map<String, Long> faults,
			List<String> violations, List<String> trace) {
	}

}
