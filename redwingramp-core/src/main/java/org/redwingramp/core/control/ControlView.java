package org.redwingramp.core.control;

import java.util.Collection;
import java.util.Optional;

import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.core.model.ShardId;

/**
 * A committed version of the records, entry instances, targets and shards of a control
 * group. Entry instances route requests by it. Implementations are immutable and thread
 * safe.
 */
public interface ControlView {

	/**
	 * Returns the identifier of the control group that the view comes from.
	 * @return the identifier, empty for the initial view
	 */
	String clusterId();

	/**
	 * Returns the version of the view. Versions never decrease.
	 * @return the version, 0 for the initial view
	 */
	long version();

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, or empty if there is none of that name
	 */
	Optional<RecordBody.Service> service(String name);

	/**
	 * Returns whether the targets and entry instances of a failure domain may receive
	 * work. A domain without a record may.
	 * @param name the failure domain's name
	 * @return {@code false} if an operator took the domain out of service
	 */
	boolean domainAcceptsWork(String name);

	/**
	 * Finds a record.
	 * @param kind the record's kind
	 * @param name the record's name
	 * @return the record, or empty if there is none
	 */
	Optional<RecordState> record(RecordKind kind, String name);

	/**
	 * Returns all records.
	 * @return the records, ordered by kind and name
	 */
	Collection<RecordState> records();

	/**
	 * Returns all entry instances.
	 * @return the entry instances, ordered by name
	 */
	Collection<EntryState> entries();

	/**
	 * Finds an entry instance.
	 * @param name the instance's name
	 * @return the instance, or empty if it is not registered
	 */
	Optional<EntryState> entry(String name);

	/**
	 * Returns the targets of a service.
	 * @param service the service's name
	 * @return the targets, ordered by name
	 */
	Collection<TargetState> targets(String service);

	/**
	 * Returns the targets whose gate is the given entry instance.
	 * @param entry the instance's name
	 * @return the targets, ordered by name
	 */
	Collection<TargetState> targetsOfGate(String entry);

	/**
	 * Finds a target.
	 * @param name the target's name
	 * @return the target, or empty if it is not registered
	 */
	Optional<TargetState> target(String name);

	/**
	 * Finds the shard that a key belongs to: its own shard if the key was split out of
	 * its slice, otherwise the slice.
	 * @param service the service
	 * @param key the key
	 * @return the shard, or empty if the service's shards do not exist yet
	 */
	Optional<ShardState> shard(RecordBody.Service service, String key);

	/**
	 * Finds a shard by its identifier.
	 * @param id the identifier
	 * @return the shard, or empty if there is none
	 */
	Optional<ShardState> shard(ShardId id);

	/**
	 * Returns the shards that a target owns, in any phase.
	 * @param target the target's name
	 * @return the shards, ordered by identifier
	 */
	Collection<ShardState> shardsOf(String target);

	/**
	 * Returns all shards of a service.
	 * @param service the service's name
	 * @return the shards, ordered by identifier
	 */
	Collection<ShardState> shards(String service);

}
