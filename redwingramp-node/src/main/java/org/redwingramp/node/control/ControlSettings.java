package org.redwingramp.node.control;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The settings of a control replica. Immutable and thread safe.
 *
 * @param instance the instance's name for the log
 * @param name the replica's name: its IP address
 * @param listen the address for calls of targets and operators
 * @param peerPort the port for links between processes, the same on all instances
 * @param seeds the IP addresses of control replicas to contact first
 * @param failureDomains the names of all failure domains, empty if they aren't known
 * @param mayFormGroup whether the seeds may form a new consensus group
 * @param toleratedLosses the number of replicas whose simultaneous loss, including their
 * disks, the group must survive
 * @param dataFolder the folder for the log and the snapshots
 * @param startedNanos the monotonic time of the process's start
 */
public record ControlSettings(String instance, String name, InetSocketAddress listen, int peerPort, List<String> seeds,
		Set<String> failureDomains, boolean mayFormGroup, int toleratedLosses, Path dataFolder, long startedNanos) {

	public ControlSettings {
		seeds = List.copyOf(seeds);
		failureDomains = Set.copyOf(failureDomains);
	}

	/**
	 * Returns the number of voters that the group grows to and keeps. A majority of them
	 * remains after the tolerated number of replicas is lost.
	 * @return the number of voters
	 */
	public int voters() {
		return 2 * this.toleratedLosses + 1;
	}

}
