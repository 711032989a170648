package org.redwingramp.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The actions that the caller has to carry out after an event, in this order: persist and
 * sync, send the messages, install the snapshot, apply the committed entries, report the
 * proposal results. Immutable and thread safe.
 *
 * @param persist the batch that must be synced first
 * @param messages the messages to send once the batch is synced
 * @param snapshotToInstall a snapshot that replaces the state machine's state
 * @param committed the entries to apply, in order; each index is delivered once
 * @param results the outcomes of proposals
 */
public record ReplicaEffects(Optional<PersistBatch> persist, List<Outbound> messages,
		Optional<Snapshot> snapshotToInstall, List<LogEntry> committed, List<ProposalResult> results) {

	/** No action required. */
	public static final ReplicaEffects NONE = new ReplicaEffects(Optional.empty(), List.of(), Optional.empty(),
			List.of(), List.of());

	public ReplicaEffects {
		messages = List.copyOf(messages);
		committed = List.copyOf(committed);
		results = List.copyOf(results);
	}

}
