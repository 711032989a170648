package org.redwingramp.daemon.internal.control;

/**
 * Sends one-way messages to other control replicas without a delivery guarantee.
 * Implementations are thread safe and never block.
 */
public interface ReplicaLinks {

	/**
	 * Sends a message to a replica.
	 * @param replicaName the name of the receiving replica
	 * @param frame the message
	 */
	void send(String replicaName, PeerFrame frame);

}
