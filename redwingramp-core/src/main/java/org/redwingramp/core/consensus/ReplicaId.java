package org.redwingramp.core.consensus;

/**
 * Identifies one replica together with its disk. A replica that lost its disk gets a new
 * incarnation, so that votes and acknowledgements of the earlier one are never attributed
 * to it. Immutable and thread safe.
 *
 * @param name the instance's name from its settings
 * @param incarnation the random number stored in the data folder when it was created
 */
public record ReplicaId(String name, long incarnation) {

	// Implemented by hand, since the methods that the compiler generates for a record are
	// linked at their first use, which delays the election after a restart.
	@Override
	public boolean equals(Object other) {
		return other instanceof ReplicaId id && this.incarnation == id.incarnation && this.name.equals(id.name);
	}

	@Override
	public int hashCode() {
		return 31 * this.name.hashCode() + Long.hashCode(this.incarnation);
	}

	@Override
	public String toString() {
		return this.name + "#" + Long.toHexString(this.incarnation);
	}

}
