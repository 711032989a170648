package org.redwingramp.core.control;

import java.util.List;

import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

/**
 * The difference between two accepted views, or a whole view. Immutable and thread safe.
 *
 * @param clusterId the control group that it comes from
 * @param fromVersion the version that the receiver must have, 0 for a whole view
 * @param toVersion the version after the update
 * @param records the records that changed
 * @param entries the entry instances that changed
 * @param targets the targets that changed
 * @param shards the shards that changed
 * @param removed what is gone
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
	 * Returns whether the update replaces the receiver's view.
	 * @return {@code true} for a whole view
	 */
	public boolean whole() {
		return this.fromVersion == 0;
	}

	/** A resource that is gone. All implementations are immutable records. */
	public sealed interface Removed {

		/**
		 * A withdrawn record.
		 *
		 * @param kind the kind
		 * @param name the name
		 */
		record RemovedRecord(RecordKind kind, String name) implements Removed {
		}

		/**
		 * A removed entry instance.
		 *
		 * @param name the name
		 */
		record RemovedEntry(String name) implements Removed {
		}

		/**
		 * A removed target.
		 *
		 * @param name the name
		 */
		record RemovedTarget(String name) implements Removed {
		}

		/**
		 * A removed shard.
		 *
		 * @param id the shard
		 */
		record RemovedShard(ShardId id) implements Removed {
		}

	}

}
