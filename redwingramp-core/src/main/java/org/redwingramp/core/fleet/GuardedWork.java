package org.redwingramp.core.fleet;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * Runs the work for one element of many, for example one target. Invariant: an unexpected
 * exception ends the work for this element only and is reported to the output. The name
 * of an element is only formatted if its work fails. Not thread safe.
 */
final class GuardedWork {

	private final FleetOutput output;

	GuardedWork(FleetOutput output) {
		this.output = output;
	}

	void run(String duty, Supplier<String> element, Runnable work) {
		call(duty, element, () -> {
			work.run();
			return duty;
		});
	}

	// Returns the result, or empty if the work failed.
	<T> Optional<T> call(String duty, Supplier<String> element, Supplier<T> work) {
		try {
			return Optional.of(work.get());
		}
		catch (RuntimeException ex) {
			this.output.workFailed(duty, element.get(), ex);
			return Optional.empty();
		}
	}

}
