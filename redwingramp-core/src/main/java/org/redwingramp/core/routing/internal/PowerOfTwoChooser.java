package org.redwingramp.core.routing.internal;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.redwingramp.core.routing.TargetChooser;

/**
 * Draws two candidates and takes the one with the shorter expected wait. Two draws bound
 * the queues nearly as well as a full search, and entries with the same outdated figures
 * don't all choose the same target. Not thread safe; a lock guards it.
 */
public final class PowerOfTwoChooser implements TargetChooser {

	private final RandomGenerator random;

	/**
	 * Creates the chooser.
	 * @param random the source of the draws
	 */
	public PowerOfTwoChooser(RandomGenerator random) {
		this.random = random;
	}

	@Override
	public Optional<String> choose(List<Candidate> candidates) {
		List<Candidate> normal = candidates.stream().filter((candidate) -> !candidate.ejected()).toList();
		List<Candidate> usable = (normal.isEmpty()) ? candidates : normal;
		return switch (usable.size()) {
			case 0 -> Optional.empty();
			case 1 -> Optional.of(usable.get(0).target());
			default -> Optional.of(draw(usable).target());
		};
	}

	private Candidate draw(List<Candidate> usable) {
		int first = this.random.nextInt(usable.size());
		int second = this.random.nextInt(usable.size() - 1);
		return better(usable.get(first), usable.get((second < first) ? second : second + 1));
	}

	private Candidate better(Candidate first, Candidate second) {
		boolean timed = first.serviceNanos() > 0 && second.serviceNanos() > 0;
		return (cost(first, timed) <= cost(second, timed)) ? first : second;
	}

	private double cost(Candidate candidate, boolean timed) {
		double load = (candidate.busy() + 1.0) / Math.max(1, candidate.slots());
		return (timed) ? load * candidate.serviceNanos() : load;
	}

}
