package org.redwingramp.core.observation;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The observations that a process knows, one for each kind and subject. Invariants:
 * observations of one subject are merged as their kind defines, in whichever order they
 * arrive; the number of subjects of a kind is bounded; what {@link #published()} returns
 * changes only if a value changes or an observation needs to be refreshed, so that
 * repeated observations cause no traffic. Reads no clock. Not thread safe.
 */
public final class ObservationTable {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<ObservationKind, Map<String, Known>> known = new EnumMap<>(ObservationKind.class);

	/**
	 * Records an observation.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param value the observed value, or {@link Observation#NONE}
	 * @param observedNanos the monotonic time of the observation in nanoseconds
	 * @return whether other processes need to know: the value is new, or the published
	 * observation is old
	 */
	public boolean record(ObservationKind kind, String subject, double value, long observedNanos) {
		Map<String, Known> subjects = this.known.computeIfAbsent(kind, (key) -> new HashMap<>());
		Known former = subjects.get(subject);
		Observed next = new Observed(kind, subject, value, observedNanos);
		Observed latest = (former != null) ? kind.merge(former.latest(), next) : next;
		boolean publish = former == null || former.published().value() != latest.value()
				|| latest.observedNanos() - former.published().observedNanos() >= kind.refreshNanos();
		subjects.put(subject, new Known(latest, publish ? latest : former.published()));
		if (subjects.size() > kind.maxSubjects()) {
			subjects.values()
				.stream()
				.map(Known::latest)
				.min(kind.leastImportantFirst())
				.ifPresent((dropped) -> subjects.remove(dropped.subject()));
		}
		return publish;
	}

	/**
	 * Returns the latest observation of a subject.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param now the monotonic time in nanoseconds
	 * @return the observation, also if its value is {@link Observation#NONE}; empty if
	 * there is no valid one
	 */
	public Optional<Observed> latest(ObservationKind kind, String subject, long now) {
		return Optional.ofNullable(this.known.getOrDefault(kind, Map.of()).get(subject))
			.map(Known::latest)
			.filter((observed) -> observed.valid(now));
	}

	/**
	 * Returns the value of a subject.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param now the monotonic time in nanoseconds
	 * @return the value, or empty if none is known or it doesn't hold any more
	 */
	public OptionalDouble value(ObservationKind kind, String subject, long now) {
		return latest(kind, subject, now).filter((observed) -> observed.value() != Observation.NONE)
			.map((observed) -> OptionalDouble.of(observed.value()))
			.orElse(OptionalDouble.empty());
	}

	/**
	 * Returns whether any subject of a kind is known.
	 * @param kind what was observed
	 * @return whether there is an observation, which may have expired
	 */
	public boolean knowsAny(ObservationKind kind) {
		return !this.known.getOrDefault(kind, Map.of()).isEmpty();
	}

	/**
	 * Returns the observations to distribute.
	 * @return the published observations
	 */
	public List<Observed> published() {
		return this.known.values()
			.stream()
			.flatMap((subjects) -> subjects.values().stream())
			.map(Known::published)
			.toList();
	}

	/**
	 * Drops observations that aren't valid any more.
	 * @param now the monotonic time in nanoseconds
	 */
	public void expire(long now) {
		this.known.values().forEach((subjects) -> subjects.values().removeIf((entry) -> !entry.latest().valid(now)));
	}

	private record Known(Observed latest, Observed published) {
	}

	/**
	 * An observation with its time.
	 *
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param value the observed value, or {@link Observation#NONE}
	 * @param observedNanos the monotonic time of the observation in nanoseconds
	 */
	public record Observed(ObservationKind kind, String subject, double value, long observedNanos) {

		boolean valid(long now) {
			return now - this.observedNanos < this.kind.validityNanos();
		}

		/**
		 * Returns the age.
		 * @param now the monotonic time in nanoseconds
		 * @return the time since the observation in milliseconds
		 */
		public long ageMillis(long now) {
			return Math.max(0, (now - this.observedNanos) / NANOS_PER_MILLI);
		}

		/**
		 * Returns the observation in the form in which it is sent.
		 * @param now the monotonic time in nanoseconds
		 * @return the observation
		 */
		public Observation toSend(long now) {
			return new Observation(this.kind, this.subject, this.value, ageMillis(now));
		}

		/**
		 * Reads an observation that was received.
		 * @param received the observation
		 * @param now the monotonic time in nanoseconds
		 * @return the observation with its time by the clock of this process
		 */
		public static Observed of(Observation received, long now) {
			return new Observed(received.kind(), received.subject(), received.value(),
					now - Math.max(0, received.ageMillis()) * NANOS_PER_MILLI);
		}

	}

}
