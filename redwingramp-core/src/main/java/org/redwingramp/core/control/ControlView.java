package org.redwingramp.core.control;

import java.util.Collection;
import java.util.Optional;

import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

/**
 * An accepted state of records, entry instances, targets and shards. Implementations are
 * immutable and thread safe.
 */
public interface ControlView {

	/**
	 * Returns the control group that the view comes from.
	 * @return the identifier, empty for the initial view
	 */
	String clusterId();

	/**
	 * Returns the view's version. Versions only rise.
	 * @return the version, 0 for the initial view
	 */
	long version();

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service
	 */
	Optional<RecordBody.Service> service(String name);

	/**
	 * Returns whether a failure domain takes work. Domains without a record do.
	 * @param name the failure domain's name
	 * @return whether it takes work
	 */
	boolean domainTakesWork(String name);

	/**
	 * Finds a record.
	 * @param kind the kind
	 * @param name the name
	 * @return the record
	 */
	Optional<RecordState> record(RecordKind kind, String name);

	/**
	 * Returns all records.
	 * @return the records in order of kind and name
	 */
	Collection<RecordState> records();

	/**
	 * Returns all entry instances.
	 * @return the entry instances in order of name
	 */
	Collection<EntryState> entries();

	/**
	 * Finds an entry instance.
	 * @param name the instance's name
	 * @return the instance
	 */
	Optional<EntryState> entry(String name);

	/**
	 * Returns the targets of a service.
	 * @param service the service's name
	 * @return the targets in order of name
	 */
	Collection<TargetState> targets(String service);

	/**
	 * Returns the targets that an entry instance is the gate of.
	 * @param entry the instance's name
	 * @return the targets in order of name
	 */
	Collection<TargetState> targetsOfGate(String entry);

	/**
	 * Finds a target.
	 * @param name the target's name
	 * @return the target
	 */
	Optional<TargetState> target(String name);

	/**
	 * Finds the shard of a key: the key's own shard if it was split out, else its slice.
	 * @param service the service
	 * @param key the key
	 * @return the shard, or empty before the service's shards exist
	 */
	Optional<ShardState> shard(RecordBody.Service service, String key);

	/**
	 * Finds a shard by its identifier.
	 * @param id the identifier
	 * @return the shard
	 */
	Optional<ShardState> shard(ShardId id);

	/**
	 * Returns the shards that a target owns, in any phase.
	 * @param target the target's name
	 * @return the shards in order
	 */
	Collection<ShardState> shardsOf(String target);

	/**
	 * Returns all shards of a service.
	 * @param service the service's name
	 * @return the shards in order
	 */
	Collection<ShardState> shards(String service);

}
