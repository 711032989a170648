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
 * The validated settings of a daemon. No {@code toString} of a component contains a
 * secret. Immutable and thread safe.
 *
 * @param instance the identity and roles of the instance
 * @param listen the addresses that the instance listens on
 * @param control the control replicas and, for the control role, the storage settings
 * @param operators the authentication tokens of operators
 * @param targets how targets authenticate and announce themselves
 * @param callerToken the token that callers must present, or empty if callers need no
 * token
 * @param sharedKey the key with which instances authenticate each other
 * @param controlTiming the durations of leases, grants and heartbeats
 * @param consensusTiming the heartbeat and election timeouts of the replicated log
 * @param logging the log level and destination
 * @param limits the limits on requests
 */
public record Settings(Instance instance, Listen listen, Control control, Operators operators, Targets targets,
		Optional<Secret> callerToken, Secret sharedKey, ControlTiming controlTiming, ConsensusTiming consensusTiming,
		Logging logging, Limits limits) {

	/**
	 * Returns whether the instance has the given role.
	 * @param role the role
	 * @return {@code true} if the instance has the role
	 */
	public boolean hasRole(InstanceRole role) {
		return this.instance.roles().contains(role);
	}

	/**
	 * The identity and roles of the instance.
	 *
	 * @param name the name, unique within the deployment
	 * @param failureDomain the failure domain in which the instance runs
	 * @param region the region in which the instance runs
	 * @param roles the roles of the instance, at least one
	 */
	public record Instance(String name, String failureDomain, String region, Set<InstanceRole> roles) {

		public Instance {
			roles = Set.copyOf(roles);
		}

	}

	/**
	 * The addresses that the instance listens on.
	 *
	 * @param callers the address for callers and targets, present if and only if the
	 * instance has the entry role
	 * @param operators the address for operators, metrics and health checks
	 * @param internal the address for other instances; never a wildcard address, since
	 * other instances connect to it
	 */
	public record Listen(Optional<Endpoint> callers, Endpoint operators, Endpoint internal) {
	}

	/**
	 * The control replicas and the storage settings of this instance's replica.
	 *
	 * @param replicas all control replicas, an odd number; an instance with the control
	 * role is listed with its own name and internal address
	 * @param dataFolder the folder of the stored state, present if and only if the
	 * instance has the control role
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
	 * @param name the name of the instance
	 * @param address the internal address of the instance
	 */
	public record Replica(String name, Endpoint address) {
	}

	/**
	 * The authentication tokens of operators.
	 *
	 * @param tokens the tokens by operator name, all different
	 */
	public record Operators(Map<String, Secret> tokens) {

		public Operators {
			tokens = Map.copyOf(tokens);
		}

		/**
		 * Finds the operator that a presented token belongs to. The token is compared
		 * with the tokens of all operators, so that the response time does not reveal
		 * which token is similar.
		 * @param presented the presented token
		 * @return the name of the operator, or empty if no operator has this token
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
	 * The rules by which targets announce themselves.
	 *
	 * @param token the token that targets must present; always present if the instance
	 * has the entry role
	 * @param allowForeignAddresses whether a target may announce an address other than
	 * the source address of its announcement
	 */
	public record Targets(Optional<Secret> token, boolean allowForeignAddresses) {
	}

	/**
	 * The log level and destination.
	 *
	 * @param level the minimum level of log messages
	 * @param file the log file, or empty to log to standard error
	 */
	public record Logging(Level level, Optional<Path> file) {
	}

	/**
	 * The limits on requests.
	 *
	 * @param maxRequestBodyBytes the maximum size of a request body in bytes
	 * @param maxAnswerBodyBytes the maximum size of a response body in bytes
	 * @param maxConcurrentRequests the maximum number of concurrent requests, including
	 * waiting requests
	 */
	public record Limits(int maxRequestBodyBytes, int maxAnswerBodyBytes, int maxConcurrentRequests) {
	}

}
