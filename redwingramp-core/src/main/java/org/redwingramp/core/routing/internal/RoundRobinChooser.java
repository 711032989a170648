package org.redwingramp.core.routing.internal;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.routing.TargetChooser;

/**
 * Takes the candidates in turn. Not thread safe; a lock guards it.
 */
public final class RoundRobinChooser implements TargetChooser {

	private long next;

	@Override
	public Optional<String> choose(List<Candidate> candidates) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get((int) (this.next++ % candidates.size())).target());
	}

}
