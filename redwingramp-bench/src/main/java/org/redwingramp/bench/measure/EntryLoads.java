package org.redwingramp.bench.measure;

import org.redwingramp.core.routing.TargetChooser.Candidate;
import org.redwingramp.core.routing.TargetGate.GateStatus;

/**
 * The load statistics that each entry keeps for each target: its own outstanding requests
 * are counted at once, those of other entries are taken from the gate's last report. Not
 * thread safe.
 */
final class EntryLoads {

	private final int[][] outstanding;

	private final int[][] outstandingAtReport;

	private final GateStatus[][] lastReports;

	EntryLoads(int entries, int targets) {
		this.lastReports = new GateStatus[entries][targets];
		this.outstanding = new int[entries][targets];
		this.outstandingAtReport = new int[entries][targets];
	}

	void recordSend(int entry, int target) {
		this.outstanding[entry][target]++;
	}

	void recordEnd(int entry, int target) {
		this.outstanding[entry][target]--;
	}

	/**
	 * Records a gate's status, received with a heartbeat or a reply.
	 * @param entry the entry that receives the status
	 * @param target the target that the gate protects
	 * @param status the reported status
	 */
	void recordReport(int entry, int target, GateStatus status) {
		this.lastReports[entry][target] = status;
		this.outstandingAtReport[entry][target] = this.outstanding[entry][target];
	}

	Candidate candidate(int entry, int target, boolean ejected) {
		GateStatus report = this.lastReports[entry][target];
		int reported = report.inFlight() + report.waiting();
		int othersOutstanding = Math.max(0, reported - this.outstandingAtReport[entry][target]);
		return new Candidate(Integer.toString(target), report.limit(),
				othersOutstanding + this.outstanding[entry][target], report.serviceNanos(), ejected);
	}

}
