package org.redwingramp.node.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.redwingramp.node.link.LinkMessage;

/**
 * How far an entry instance follows the leader, across its sessions: what it has applied,
 * and when it was last known to be up to date. Not thread safe; confined to the event
 * loop's thread.
 */
final class EntryProgress {

	/**
	 * Age of what an entry instance has applied above which it counts as being behind.
	 * Half the time within which the platform requires a change to be in force.
	 */
	private static final long BEHIND_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

	private long upToDateNanos;

	private boolean reported;

	private Optional<Long> configVersion = Optional.empty();

	private Optional<String> lag = Optional.empty();

	private boolean loggedBehind;

	EntryProgress(long now) {
		this.upToDateNanos = now;
	}

	void reported(LinkMessage.Report report) {
		this.reported = true;
		this.configVersion = report.configVersion();
		this.lag = report.lag();
	}

	// Takes note of the age of the oldest view that the instance hasn't acknowledged in
	// its session, 0 if there is none; empty before the first acknowledgement.
	void acknowledged(OptionalLong unacknowledgedAgeNanos, long now) {
		if (unacknowledgedAgeNanos.isPresent() && this.lag.isEmpty()) {
			this.upToDateNanos = now - unacknowledgedAgeNanos.getAsLong();
		}
	}

	// Returns whether the instance has sent a report.
	boolean reported() {
		return this.reported;
	}

	// Returns why the instance doesn't follow by its own account.
	Optional<String> lag() {
		return this.lag;
	}

	// Returns the version of the configuration that the instance applies, or -1 if it
	// doesn't state it.
	long configVersion() {
		return this.configVersion.orElse(-1L);
	}

	// Returns the time since the instance had applied all that was sent to it, as of the
	// last note.
	long ageNanos(long now) {
		return now - this.upToDateNanos;
	}

	boolean behind(long now) {
		return ageNanos(now) > BEHIND_THRESHOLD_NANOS;
	}

	// Returns whether it has fallen behind or caught up since the last call.
	boolean behindChanged(long now) {
		boolean changed = behind(now) != this.loggedBehind;
		this.loggedBehind = behind(now);
		return changed;
	}

}
