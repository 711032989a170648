package org.redwingramp.core.consensus;

/**
 * Identifies one replica together with its disk. A replica that lost its disk gets a new
 * incarnation, so that its former votes and acknowledgements are never attributed to it.
 * Immutable and thread safe.
 *
 * @param name the instance's name from its settings
 * @param incarnation the random number stored in the data folder when it was created
 */
public record ReplicaId(String name, long incarnation) {

	@Override
	public String toString() {
		return this.name + "#" + Long.toHexString(this.incarnation);
	}

}
