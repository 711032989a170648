package org.redwingramp.bench.soak;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.redwingramp.core.consensus.Membership;

/**
 * One independent simulation: a phase with injected faults, then a phase without, by the
 * end of which the cluster must have recovered. Stateless and thread safe.
 */
public final class Round {

	private static final long FAULTS_MILLIS = 12_000;

	/**
	 * Longer than the slowest repair of the consensus group, which waits ten election
	 * timeouts.
	 */
	private static final long RECOVERY_MILLIS = 20_000;

	private static final long STEP_MILLIS = 100;

	private Round() {
	}

	/**
	 * Runs a round. An even seed selects the append workload, an odd one the control
	 * workload.
	 * @param seed the seed, which alone determines the run
	 * @return the result
	 */
	public static Result run(long seed) {
		return ((seed & 1) == 0) ? run(seed, AppendWorkload::new) : run(seed, ControlWorkload::new);
	}

	static Result run(long seed, Function<SimulatedCluster, Workload> workloadFactory) {
		SimulatedCluster cluster = new SimulatedCluster(seed, workloadFactory);
		FaultInjector faults = new FaultInjector(cluster);
		faults.start();
		Simulation simulation = cluster.simulation();
		simulation.runUntil(FAULTS_MILLIS * Simulation.MILLISECOND);
		faults.end();
		long end = (FAULTS_MILLIS + RECOVERY_MILLIS) * Simulation.MILLISECOND;
		while (!simulation.stopped() && simulation.now() < end && !recoveryProblem(cluster).isEmpty()) {
			simulation.runUntil(simulation.now() + STEP_MILLIS * Simulation.MILLISECOND);
		}
		cluster.replicaChecks().checkLogs();
		if (!simulation.stopped() && !recoveryProblem(cluster).isEmpty()) {
			cluster.replicas().forEach((process) -> process.describe().forEach(cluster.trace()::log));
			cluster.trace().violation("no progress after the faults ended: " + recoveryProblem(cluster));
		}
		return new Result(seed, simulation.events(), cluster.replicaChecks().committedEntries(),
				Map.copyOf(cluster.workload().operationCounts()), Map.copyOf(cluster.trace().faults()),
				cluster.trace().violations(), cluster.trace().lines());
	}

	// Returns the first condition of recovery that isn't met, or an empty string.
	private static String recoveryProblem(SimulatedCluster cluster) {
		Optional<Membership> membership = cluster.replicaChecks().membership();
		boolean complete = membership.isPresent()
				&& cluster.replicas().stream().allMatch((process) -> membership.get().voters().contains(process.id()));
		if (!complete) {
			return "the group isn't whole";
		}
		long applied = cluster.replicaChecks().committedEntries();
		if (cluster.replicas().stream().anyMatch((process) -> process.appliedIndex() + 20 < applied)) {
			return "a replica lags";
		}
		return cluster.workload().recoveryProblem();
	}

	/**
	 * The result of a round. Immutable and thread safe.
	 *
	 * @param seed the round's seed
	 * @param events the number of simulated events
	 * @param committed the number of committed log entries
	 * @param work the number of operations of the workload by kind
	 * @param faults the number of injected faults by kind
	 * @param violations the descriptions of the violated invariants
	 * @param trace the last lines of the trace
	 */
	public record Result(long seed, long events, long committed, Map<String, Long> work, Map<String, Long> faults,
			List<String> violations, List<String> trace) {
	}

}
