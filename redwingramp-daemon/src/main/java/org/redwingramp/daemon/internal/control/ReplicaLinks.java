package org.redwingramp.daemon.internal.control;

/**
 * Sends one-way messages to other control replicas. Implementations are thread safe,
 * never block and may lose messages.
 */
public interface ReplicaLinks {

	/**
	 * Sends a message to a replica.
	 * @param replicaName the replica's name
	 * @param frame the message
	 */
	void send(String replicaName, PeerFrame frame);

}
