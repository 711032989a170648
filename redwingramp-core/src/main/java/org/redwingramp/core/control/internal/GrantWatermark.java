package org.redwingramp.core.control.internal;

import org.redwingramp.core.control.ControlTiming;

/**
 * The low watermark of grants: the view version that every valid grant is based on at
 * least. Not thread safe.
 *
 * <p>
 * A service that is withdrawn and created again has new shards, without a record of their
 * previous owners. Once all entry instances with a lease have acknowledged a view that
 * contains the new service, they renew no grant of the previous owners, and one grant
 * lease later none of those grants is valid.
 */
final class GrantWatermark {

	private final long waitNanos;

	private long watermark;

	private long candidate = -1;

	private long candidateSince;

	GrantWatermark(ControlTiming timing) {
		this.waitNanos = timing.grantorWaitNanos(timing.grantLeaseNanos());
	}

	void observe(long versionInForce, long now) {
		if (this.candidate >= 0 && now - this.candidateSince >= this.waitNanos) {
			this.watermark = Math.max(this.watermark, this.candidate);
			this.candidate = -1;
		}
		if (this.candidate < 0) {
			this.candidate = versionInForce;
			this.candidateSince = now;
		}
	}

	long version() {
		return this.watermark;
	}

}
