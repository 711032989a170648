package org.redwingramp.bench.measure;

import org.redwingramp.core.routing.TargetChooser.Candidate;
import org.redwingramp.core.routing.TargetGate.GateStatus;

/**
 * What entries know about the load of targets: the requests that they themselves wait for
 * at once, and everything else as the gates last reported it. Not thread safe.
 */
final class EntryLoads {

	private final int[][] outstanding;

	private final int[][] reportedOutstanding;

	private final GateStatus[][] reports;

	EntryLoads(int entries, int targets) {
		this.reports = new GateStatus[entries][targets];
		this.outstanding = new int[entries][targets];
		this.reportedOutstanding = new int[entries][targets];
	}

	void sent(int entry, int target) {
		this.outstanding[entry][target]++;
	}

	void ended(int entry, int target) {
		this.outstanding[entry][target]--;
	}

	/**
	 * Takes in a gate's figures, from a heartbeat or with an answer.
	 * @param entry the entry that gets the figures
	 * @param target the target
	 * @param status the figures
	 */
	void report(int entry, int target, GateStatus status) {
		this.reports[entry][target] = status;
		this.reportedOutstanding[entry][target] = this.outstanding[entry][target];
	}

	Candidate candidate(int entry, int target, boolean ejected) {
		GateStatus report = this.reports[entry][target];
		int reported = report.inFlight() + report.waiting();
		int others = Math.max(0, reported - this.reportedOutstanding[entry][target]);
		return new Candidate(Integer.toString(target), report.limit(), others + this.outstanding[entry][target],
				report.serviceNanos(), ejected);
	}

}
