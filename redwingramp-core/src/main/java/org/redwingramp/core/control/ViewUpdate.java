package org.redwingramp.core.control;

import java.util.List;

import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

/**
 * The difference between two versions of the view, or a complete view. Immutable and
 * thread safe.
 *
 * @param clusterId the identifier of the control group that the update comes from
 * @param fromVersion the minimum view version that the receiver must have, 0 for a
 * complete view
 * @param toVersion the view version after the update
 * @param records the added or changed records
 * @param entries the added or changed entry instances
 * @param targets the added or changed targets
 * @param shards the added or changed shards
 * @param removed the removed resources
 */
public record ViewUpdate(String clusterId, long fromVersion, long toVersion, List<RecordState> records,
		List<EntryState> entries, List<TargetState> targets, List<ShardState> shards, List<Removed> removed) {

	public ViewUpdate {
		records = List.copyOf(records);
		entries = List.copyOf(entries);
		targets = List.copyOf(targets);
		shards = List.copyOf(shards);
		removed = List.copyOf(removed);
	}

	/**
	 * Returns whether the update contains a complete view, which replaces the receiver's
	 * view.
	 * @return {@code true} for a complete view, {@code false} for a difference
	 */
	public boolean complete() {
		return this.fromVersion == 0;
	}

	/** A resource removed from the view. All implementations are immutable records. */
	public sealed interface Removed {

		/**
		 * A withdrawn record.
		 *
		 * @param kind the record's kind
		 * @param name the record's name
		 */
		record RemovedRecord(RecordKind kind, String name) implements Removed {
		}

		/**
		 * A removed entry instance.
		 *
		 * @param name the instance's name
		 */
		record RemovedEntry(String name) implements Removed {
		}

		/**
		 * A removed target.
		 *
		 * @param name the target's name
		 */
		record RemovedTarget(String name) implements Removed {
		}

		/**
		 * A removed shard.
		 *
		 * @param id the identifier of the shard
		 */
		record RemovedShard(ShardId id) implements Removed {
		}

	}

}
