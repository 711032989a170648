package org.redwingramp.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.redwingramp.core.observation.EntryObservations;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.observation.ObservationKind;
import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * Finds requests that crash the targets which run them. All requests at a target break
 * when it crashes, so a request is quarantined only if it was at several crashes and no
 * target has answered it since the first of them. Requests are known by a digest, and the
 * evidence of all entry instances counts. Reads no clock. Not thread safe.
 */
public final class CrashSuspects {

	/** Crashes at which a request was present until it is quarantined. */
	private static final int QUARANTINE_AFTER_CRASHES = 2;

	/**
	 * Time for which a request is quarantined after the last crash. The next crash after
	 * it begins a new quarantine at once.
	 */
	private static final long QUARANTINE_NANOS = 600_000_000_000L;

	/**
	 * A crash that another entry instance observed within this time is assumed to be the
	 * same one.
	 */
	private static final long SAME_CRASH_NANOS = 1_000_000_000L;

	private static final int MAX_REMEMBERED_CRASHES = 256;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final EntryObservations observations;

	// When this entry instance itself last observed a crash with the request.
	private final Map<String, Long> ownCrashNanos = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REMEMBERED_CRASHES;
		}

	};

	/**
	 * Creates an instance.
	 * @param observations what this and other entry instances observed
	 */
	public CrashSuspects(EntryObservations observations) {
		this.observations = observations;
	}

	/**
	 * Returns whether any request is under suspicion, so that digests are needed.
	 * @return whether there may be one
	 */
	public boolean any() {
		return this.observations.knowsAny(ObservationKind.CRASHED);
	}

	/**
	 * Records that a target crashed while a request was at it. To be called once for each
	 * crash.
	 * @param digest the digest of the request
	 * @param now the monotonic time in nanoseconds
	 * @return the number of crashes since a target last answered the request
	 */
	public int crashed(String digest, long now) {
		Optional<Observed> known = latest(digest, now);
		Long ownCrash = this.ownCrashNanos.put(digest, now);
		boolean sameCrash = known
			.filter((former) -> now - former.observedNanos() < SAME_CRASH_NANOS
					&& !Long.valueOf(former.observedNanos()).equals(ownCrash))
			.isPresent();
		int crashes = known.map((former) -> (int) former.value()).orElse(0) + (sameCrash ? 0 : 1);
		this.observations.observed(ObservationKind.CRASHED, digest, crashes, now);
		return crashes;
	}

	/**
	 * Records that a target ran a request and answered it.
	 * @param digest the digest of the request
	 * @param now the monotonic time in nanoseconds
	 * @return whether the request was under suspicion
	 */
	public boolean answered(String digest, long now) {
		boolean suspected = latest(digest, now).isPresent();
		if (suspected) {
			this.observations.observed(ObservationKind.CRASHED, digest, Observation.NONE, now);
		}
		return suspected;
	}

	/**
	 * Returns whether a request must not be sent to a target.
	 * @param digest the digest of the request
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds until it may be sent, or empty if it may be sent
	 * now
	 */
	public OptionalLong quarantineLeftMillis(String digest, long now) {
		return latest(digest, now).filter((observed) -> observed.value() >= QUARANTINE_AFTER_CRASHES)
			.map((observed) -> observed.observedNanos() + QUARANTINE_NANOS - now)
			.filter((left) -> left > 0)
			.map((left) -> OptionalLong.of(left / NANOS_PER_MILLI + 1))
			.orElse(OptionalLong.empty());
	}

	private Optional<Observed> latest(String digest, long now) {
		return this.observations.latest(ObservationKind.CRASHED, digest, now)
			.filter((observed) -> observed.value() != Observation.NONE);
	}

}
