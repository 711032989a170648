package org.redwingramp.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.OwnedRange;
import org.redwingramp.core.ownership.Owner;

/**
 * Fails if a target accepts keys that another living target holds or works on, or accepts
 * them under a fence that isn't above all with which other targets had them, or if two
 * owners are assigned the same fence. Only an accepted grant adds to what targets hold,
 * so a check of each one covers all moments. Not thread safe.
 */
final class OwnershipCheck {

	private static final boolean BY_FENCES_ALONE = Boolean.getBoolean("call-ownership.by-fences-alone");

	private final Collection<CallTarget> targets;

	private final Set<Accepted> accepted = new LinkedHashSet<>();

	private final Map<Long, Owner> ownerByFence = new HashMap<>();

	OwnershipCheck(Collection<CallTarget> targets) {
		this.targets = targets;
	}

	void accepted(CallTarget target, KeyRange keys, long fence, long now) {
		Accepted next = new Accepted(target.name, keys, fence);
		this.targets.stream()
			.filter((other) -> other != target && other.held(now).anyMatch(keys::overlaps))
			.findFirst()
			.ifPresent((other) -> {
				throw new AssertionError(next + ", while " + other.name + " born " + other.born + " holds "
						+ other.held(now).filter(keys::overlaps).toList());
			});
		checkFence(next);
		this.accepted.add(next);
	}

	// A grant that is carried out after its time has ended gives no keys, so its fence
	// matters only on request.
	void acceptedTooLate(CallTarget target, KeyRange keys, long fence) {
		if (BY_FENCES_ALONE) {
			checkFence(new Accepted(target.name, keys, fence));
		}
	}

	private void checkFence(Accepted next) {
		this.accepted.stream()
			.filter((other) -> !other.target.equals(next.target) && other.fence >= next.fence
					&& (other.fence == next.fence || other.keys.overlaps(next.keys)))
			.findFirst()
			.ifPresent((other) -> {
				throw new AssertionError(next + ", after " + other);
			});
	}

	void assigned(List<OwnedRange> ranges) {
		ranges.forEach((range) -> {
			Owner former = this.ownerByFence.putIfAbsent(range.fence(), range.owner());
			if (former != null && !former.equals(range.owner())) {
				throw new AssertionError(range + " has a fence that was assigned to " + former);
			}
		});
	}

	private record Accepted(String target, KeyRange keys, long fence) {
	}

}
