package org.redwingramp.records;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Level;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.control.ControlTiming;

/**
 * The settings of a daemon, checked as a whole. Immutable and thread safe. No
 * {@code toString} shows a secret.
 *
 * @param instance who the instance is
 * @param listen the addresses that it listens on
 * @param control the control replicas and, for the control role, the stored state
 * @param operators the operators' tokens
 * @param targets what targets need to announce themselves
 * @param callerToken the token that callers must present, empty if they need none
 * @param sharedKey authenticates the instances to each other
 * @param controlTiming the leases of entry instances and targets
 * @param consensusTiming the timing of the replicated log
 * @param logging what is logged where
 * @param limits the bounds on requests
 */
public record Settings(Instance instance, Listen listen, Control control, Operators operators, Targets targets,
		Optional<Secret> callerToken, Secret sharedKey, ControlTiming controlTiming, ConsensusTiming consensusTiming,
		Logging logging, Limits limits) {

	/**
	 * Returns whether the instance has a role.
	 * @param role the role
	 * @return whether it has it
	 */
	public boolean has(InstanceRole role) {
		return this.instance.roles().contains(role);
	}

	/**
	 * Who the instance is.
	 *
	 * @param name the name, unique within the deployment
	 * @param failureDomain the failure domain that it runs in
	 * @param region the region that it runs in
	 * @param roles what it does, at least one role
	 */
	public record Instance(String name, String failureDomain, String region, Set<InstanceRole> roles) {

		public Instance {
			roles = Set.copyOf(roles);
		}

	}

	/**
	 * The addresses that the instance listens on.
	 *
	 * @param callers for callers and targets, present exactly if the instance has the
	 * entry role
	 * @param operators for operators, metrics and health
	 * @param internal for other instances, never a wildcard address, since they connect
	 * to it
	 */
	public record Listen(Optional<Endpoint> callers, Endpoint operators, Endpoint internal) {
	}

	/**
	 * The control replicas.
	 *
	 * @param replicas all control replicas, an odd number; an instance with the control
	 * role is among them under its own name and internal address
	 * @param dataFolder the folder of the stored state, present exactly if the instance
	 * has the control role
	 * @param snapshotEvery the number of log entries between two snapshots
	 */
	public record Control(List<Replica> replicas, Optional<Path> dataFolder, long snapshotEvery) {

		public Control {
			replicas = List.copyOf(replicas);
		}

	}

	/**
	 * A control replica.
	 *
	 * @param name the instance's name
	 * @param address the address of its internal port
	 */
	public record Replica(String name, Endpoint address) {
	}

	/**
	 * The operators.
	 *
	 * @param tokens the token of each operator by name, all different
	 */
	public record Operators(Map<String, Secret> tokens) {

		public Operators {
			tokens = Map.copyOf(tokens);
		}

		/**
		 * Finds the operator who presents a token. Compares with each token, so that the
		 * time doesn't tell which one is similar.
		 * @param presented the token
		 * @return the operator's name, or empty if nobody has that token
		 */
		public Optional<String> find(String presented) {
			return this.tokens.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().matches(presented))
				.map(Map.Entry::getKey)
				.reduce((first, second) -> first);
		}

	}

	/**
	 * What targets need to announce themselves.
	 *
	 * @param token their token, present if the instance has the entry role
	 * @param allowForeignAddresses whether a target may announce an address other than
	 * the one it sends from
	 */
	public record Targets(Optional<Secret> token, boolean allowForeignAddresses) {
	}

	/**
	 * What is logged where.
	 *
	 * @param level the lowest level that is logged
	 * @param file the log file, or empty for standard error
	 */
	public record Logging(Level level, Optional<Path> file) {
	}

	/**
	 * The bounds on requests.
	 *
	 * @param maxRequestBodyBytes the largest body of a request
	 * @param maxAnswerBodyBytes the largest body of an answer
	 * @param maxConcurrentRequests the number of requests that the instance handles at
	 * once, waiting ones included
	 */
	public record Limits(int maxRequestBodyBytes, int maxAnswerBodyBytes, int maxConcurrentRequests) {
	}

}
