package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;

/**
 * When failure domains returned to service, as one replica saw it. Every replica follows
 * the committed commands, so a new leader knows of a return that only the former one has
 * executed. Invariant: only the last return of a domain that is in service is kept. Reads
 * no clock. Not thread safe.
 */
public final class DomainReturns {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Map<String, Long> returnedNanos = new HashMap<>();

	/**
	 * Takes note of a command that was committed while this process was running.
	 * @param command the command
	 * @param now the monotonic time in nanoseconds
	 */
	public void applied(FleetCommand command, long now) {
		if (command instanceof SetDomainOut change && change.out()) {
			this.returnedNanos.remove(change.domain());
		}
		else if (command instanceof SetDomainOut change) {
			this.returnedNanos.put(change.domain(), now);
		}
	}

	/**
	 * Tells a new leader's controller which domains returned to service so recently that
	 * their targets may still be cold.
	 * @param controller the controller
	 * @param coldMillis the duration of a cold period in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	public void passTo(FleetController controller, long coldMillis, long now) {
		this.returnedNanos.forEach((domain, returned) -> {
			if (now - returned < coldMillis * NANOS_PER_MILLI) {
				controller.domainReturned(domain, coldMillis, returned, now);
			}
		});
	}

}
