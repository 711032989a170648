package org.redwingramp.core.control;

import java.util.List;
import java.util.Map;

import org.redwingramp.core.model.RecordKind;

/**
 * The control state as plain data, for snapshots. Immutable and thread safe.
 *
 * @param clusterId the control group's identifier
 * @param viewVersion the view version
 * @param revision the last configuration revision
 * @param lastFence the highest fence given so far
 * @param clockMillis the state's clock in milliseconds
 * @param records the records in force
 * @param tombstones the withdrawn records
 * @param entries the entry instances
 * @param targets the targets
 * @param shards the shards
 * @param ledger the requests that run at most once
 * @param ledgerFloors by service, the time of issue in milliseconds up to which requests
 * that the ledger doesn't hold may have been dropped from it
 */
public record ControlImage(String clusterId, long viewVersion, long revision, long lastFence, long clockMillis,
		List<RecordState> records, List<Tombstone> tombstones, List<EntryState> entries, List<TargetState> targets,
		List<ShardState> shards, List<LedgerRecord> ledger, Map<String, Long> ledgerFloors) {

	public ControlImage {
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
	 * @param kind the kind
	 * @param name the name
	 * @param version the version that was withdrawn
	 * @param viewVersion the view version of the withdrawal
	 */
	public record Tombstone(RecordKind kind, String name, long version, long viewVersion) {
	}

}
