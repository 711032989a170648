package org.redwingramp.core.control.internal;

import org.redwingramp.core.control.ControlTiming;

/**
 * The view version from which no target holds a grant of an older view. Not thread safe.
 *
 * <p>
 * A service that is withdrawn and created again has new shards without a record of their
 * former owners. Once all entry instances with a lease have acknowledged the creation,
 * they renew no grant for the former owners, and one grant lease later none is running.
 */
final class SettledVersion {

	private final long waitNanos;

	private long settled;

	private long candidate = -1;

	private long candidateSince;

	SettledVersion(ControlTiming timing) {
		this.waitNanos = timing.waitedNanos(timing.grantLeaseNanos());
	}

	void observe(long versionInForce, long now) {
		if (this.candidate >= 0 && now - this.candidateSince >= this.waitNanos) {
			this.settled = Math.max(this.settled, this.candidate);
			this.candidate = -1;
		}
		if (this.candidate < 0) {
			this.candidate = versionInForce;
			this.candidateSince = now;
		}
	}

	long version() {
		return this.settled;
	}

}
