package org.redwingramp.core.routing.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.TargetChooser;

/**
 * Picks two candidates at random and selects the one with the shorter expected wait (the
 * "power of two choices"). Two random candidates bound the queues nearly as well as a
 * comparison of all, and entry instances that have the same outdated load statistics
 * don't all select the same target. Not thread safe; callers guard it with a lock.
 */
public final class PowerOfTwoChooser implements TargetChooser {

	private final RandomGenerator random;

	/**
	 * Creates the chooser.
	 * @param random the source of randomness
	 */
	public PowerOfTwoChooser(RandomGenerator random) {
		this.random = random;
	}

	@Override
	public Optional<String> choose(List<Candidate> candidates) {
		List<Candidate> notEjected = candidates.stream().filter((candidate) -> !candidate.ejected()).toList();
		List<Candidate> usable = (notEjected.isEmpty()) ? candidates : notEjected;
		return switch (usable.size()) {
			case 0 -> Optional.empty();
			case 1 -> Optional.of(usable.get(0).target());
			default -> Optional.of(pickOfTwo(usable).target());
		};
	}

	private Candidate pickOfTwo(List<Candidate> usable) {
		int first = this.random.nextInt(usable.size());
		int second = this.random.nextInt(usable.size() - 1);
		return shorterWait(usable.get(first), usable.get((second < first) ? second : second + 1));
	}

	private Candidate shorterWait(Candidate first, Candidate second) {
		boolean serviceTimesKnown = first.serviceNanos() > 0 && second.serviceNanos() > 0;
		return (expectedWait(first, serviceTimesKnown) <= expectedWait(second, serviceTimesKnown)) ? first : second;
	}

	// While one of the two service times is unknown, the loads alone are compared.
	private double expectedWait(Candidate candidate, boolean serviceTimesKnown) {
		double load = (candidate.busy() + 1.0) / Math.max(1, candidate.slots());
		return (serviceTimesKnown) ? load * candidate.serviceNanos() : load;
	}

}
