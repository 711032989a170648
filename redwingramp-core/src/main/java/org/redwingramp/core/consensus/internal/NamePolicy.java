package org.redwingramp.core.consensus.internal;

import java.util.List;

/**
 * States which instance names may belong to the group. Immutable and thread safe.
 *
 * @param founding the names that form the group, sorted
 * @param groupSize the number of voters that the group aims to have
 * @param open whether instances of other names may join
 */
record NamePolicy(List<String> founding, int groupSize, boolean open) {

	NamePolicy {
		founding = founding.stream().sorted().toList();
	}

	static NamePolicy listed(List<String> names) {
		return new NamePolicy(names, names.size(), false);
	}

	static NamePolicy open(List<String> founding, int groupSize) {
		return new NamePolicy(founding, groupSize, true);
	}

	boolean admits(String name) {
		return this.open || this.founding.contains(name);
	}

}
