package org.redwingramp.core.ownership;

/**
 * A range of keys together with its owner and fence. Immutable and thread safe.
 *
 * @param keys the keys
 * @param owner the owner
 * @param fence the fencing token, higher than that of every previous owner of these keys
 */
public record OwnedRange(KeyRange keys, Owner owner, long fence) {

	OwnedRange with(KeyRange part) {
		return new OwnedRange(part, this.owner, this.fence);
	}

}
