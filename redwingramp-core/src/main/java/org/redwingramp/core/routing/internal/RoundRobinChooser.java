package org.redwingramp.core.routing.internal;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.routing.TargetChooser;

/**
 * Selects the candidates in turn. Not thread safe; callers guard it with a lock.
 */
public final class RoundRobinChooser implements TargetChooser {

	private long nextIndex;

	@Override
	public Optional<String> choose(List<Candidate> candidates) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(candidates.get((int) (this.nextIndex++ % candidates.size())).target());
	}

}
