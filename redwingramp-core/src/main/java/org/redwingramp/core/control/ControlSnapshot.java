package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

import org.redwingramp.core.model.RecordKind;

/**
 * A snapshot of the control state as plain data. Immutable and thread safe.
 *
 * @param clusterId the identifier of the control group
 * @param viewVersion the version of the current view
 * @param revision the last configuration revision
 * @param lastFence the highest fence assigned so far
 * @param clockMillis the clock of the replicated state in milliseconds, which never falls
 * @param records the records in force
 * @param tombstones the withdrawn records, kept so that delayed submissions are refused
 * @param entries the registered entry instances
 * @param targets the registered targets
 * @param shards the shards of all services
 * @param ledger the recorded at-most-once requests
 * @param ledgerFloors the time of issue in milliseconds, by service, up to which records
 * may have been removed from the ledger, so that a request without a record may have run
 */
public record ControlSnapshot(String clusterId, long viewVersion, long revision, long lastFence, long clockMillis,
		List<RecordState> records, List<Tombstone> tombstones, List<EntryState> entries, List<TargetState> targets,
		List<ShardState> shards, List<LedgerRecord> ledger, Map<String, Long> ledgerFloors) {

	public ControlSnapshot {
		records = List.copyOf(records);
		tombstones = List.copyOf(tombstones);
		entries = List.copyOf(entries);
		targets = List.copyOf(targets);
		shards = List.copyOf(shards);
		ledger = List.copyOf(ledger);
		ledgerFloors = Map.copyOf(ledgerFloors);
	}

	/**
	 * A withdrawn record.
	 *
	 * @param kind the record's kind
	 * @param name the record's name
	 * @param version the version that was withdrawn
	 * @param viewVersion the view version that the withdrawal created
	 */
	public record Tombstone(RecordKind kind, String name, long version, long viewVersion) {
	}

}
