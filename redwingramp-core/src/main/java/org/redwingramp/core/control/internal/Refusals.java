package org.redwingramp.core.control.internal;

import org.redwingramp.core.control.CommandResult.Refused;
import org.redwingramp.core.control.RefusalCode;

/**
 * Creates the results of refused commands. Stateless and thread safe.
 */
final class Refusals {

	private Refusals() {
	}

	static Refused versionConflict(RecordKey key, long version, String digest) {
		return new Refused(RefusalCode.VERSION_CONFLICT,
				key + " version " + version + " was already accepted with different content (digest " + digest
						+ "); submit the change as version " + (version + 1));
	}

	static Refused versionGap(RecordKey key, long version, long expected) {
		return new Refused(RefusalCode.VERSION_GAP,
				key + " version " + version + " is too high; expected version " + expected);
	}

	static Refused versionOutdated(RecordKey key, long version, long current) {
		return new Refused(RefusalCode.VERSION_OUTDATED,
				key + " version " + version + " is too low; expected at least version " + current);
	}

	static Refused withdrawn(RecordKey key, long version, long tombstone) {
		return new Refused(RefusalCode.WITHDRAWN,
				key + " version " + version + " is too low: the record was withdrawn at version " + tombstone
						+ "; submit it again with version " + (tombstone + 1) + " or higher");
	}

	static Refused notFound(String what) {
		return new Refused(RefusalCode.NOT_FOUND, what + " does not exist");
	}

	static Refused inconsistent(String detail) {
		return new Refused(RefusalCode.INCONSISTENT, detail);
	}

	static Refused nameTaken(String name, String address) {
		return new Refused(RefusalCode.NAME_TAKEN, "the name " + name + " is in use by the live target at " + address
				+ "; drain that target or choose another name");
	}

	static Refused stale(String detail) {
		return new Refused(RefusalCode.STALE, detail);
	}

	static Refused limitReached(String what, long limit) {
		return new Refused(RefusalCode.LIMIT_REACHED, "the number of " + what + " must not exceed " + limit);
	}

}
