package org.redwingramp.core.observation;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.redwingramp.core.observation.ObservationTable.Observed;

/**
 * The observations that one entry instance made or received, and which of them the leader
 * has yet to hear. Invariant: a new leader hears all of them once, since it starts
 * without any. Reads no clock. Not thread safe.
 */
public final class EntryObservations {

	private final ObservationTable table = new ObservationTable();

	private final Set<Subject> unreported = new LinkedHashSet<>();

	/**
	 * Records what this entry instance observed.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param value the observed value, or {@link Observation#NONE}
	 * @param now the monotonic time in nanoseconds
	 * @return whether it should be reported without delay
	 */
	public boolean observed(ObservationKind kind, String subject, double value, long now) {
		boolean publish = this.table.record(kind, subject, value, now);
		if (publish) {
			this.unreported.add(new Subject(kind, subject));
		}
		return publish;
	}

	/**
	 * Records observations of other entry instances.
	 * @param observations the observations
	 * @param now the monotonic time in nanoseconds
	 */
	public void received(List<Observation> observations, long now) {
		observations.forEach((observation) -> {
			Observed observed = Observed.of(observation, now);
			this.table.record(observed.kind(), observed.subject(), observed.value(), observed.observedNanos());
		});
	}

	/**
	 * Prepares for a leader that hasn't received any report of this entry instance.
	 */
	public void leaderChanged() {
		this.table.published()
			.forEach((observed) -> this.unreported.add(new Subject(observed.kind(), observed.subject())));
	}

	/**
	 * Returns the observations for the next report, and assumes that it is delivered or
	 * followed by {@link #leaderChanged()}.
	 * @param now the monotonic time in nanoseconds
	 * @return the observations that the leader hasn't received
	 */
	public List<Observation> drainUnreported(long now) {
		this.table.expire(now);
		List<Observation> report = this.unreported.stream()
			.flatMap((subject) -> this.table.latest(subject.kind(), subject.name(), now).stream())
			.map((observed) -> observed.toSend(now))
			.toList();
		this.unreported.clear();
		return report;
	}

	/**
	 * Returns the latest observation of a subject.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param now the monotonic time in nanoseconds
	 * @return the observation, or empty if there is no valid one
	 */
	public Optional<Observed> latest(ObservationKind kind, String subject, long now) {
		return this.table.latest(kind, subject, now);
	}

	/**
	 * Returns the value of a subject.
	 * @param kind what was observed
	 * @param subject what it was observed of
	 * @param now the monotonic time in nanoseconds
	 * @return the value, or empty if none is known or it doesn't hold any more
	 */
	public OptionalDouble value(ObservationKind kind, String subject, long now) {
		return this.table.value(kind, subject, now);
	}

	/**
	 * Returns whether any subject of a kind is known.
	 * @param kind what was observed
	 * @return whether there is an observation, which may have expired
	 */
	public boolean knowsAny(ObservationKind kind) {
		return this.table.knowsAny(kind);
	}

	private record Subject(ObservationKind kind, String name) {
	}

}
