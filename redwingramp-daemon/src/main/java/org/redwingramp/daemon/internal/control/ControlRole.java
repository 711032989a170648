package org.redwingramp.daemon.internal.control;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.LongSupplier;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Replicas;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.placement.PlacementPolicies;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.StorageException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.RecordCodec;

/**
 * Opens the data folder and puts the control role together. Stateless and thread safe.
 */
public final class ControlRole {

	/** The largest encoded control state in a snapshot, in bytes. */
	private static final int MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024;

	private ControlRole() {
	}

	/**
	 * Opens a data folder. A damaged one is set aside, and the replica starts empty under
	 * a new incarnation, so that it never votes as if it remembered.
	 * @param folder the data folder
	 * @param name the replica's name
	 * @return the open store with its content
	 * @throws StorageException if the folder can't be used
	 */
	public static OpenStore open(Path folder, String name) throws StorageException {
		SecureRandom random = new SecureRandom();
		ReplicaStore store = null;
		try {
			store = ReplicaStore.open(folder, name, random);
			return new OpenStore(store, store.load());
		}
		catch (CorruptStorageException ex) {
			EventLog.log(Event.STORE_RESET, ex.getMessage());
			if (store != null) {
				store.close();
			}
			ReplicaStore fresh = ReplicaStore.reset(folder, name, random);
			return new OpenStore(fresh, fresh.load());
		}
	}

	/**
	 * Creates the control loop.
	 * @param opened the store
	 * @param peers the replicas of the group
	 * @param links the links to them
	 * @param consensus the timing of the replicated log
	 * @param control the leases
	 * @param snapshotEvery the number of entries between two snapshots
	 * @param clock the monotonic clock in nanoseconds
	 * @return the loop, not yet running
	 * @throws CodecException if the stored snapshot can't be decoded
	 */
	public static ControlLoop create(OpenStore opened, ControlPeers peers, ReplicaLinks links,
			ConsensusTiming consensus, ControlTiming control, int snapshotEvery, LongSupplier clock)
			throws CodecException {
		List<String> names = peers.addresses().keySet().stream().sorted().toList();
		Replica replica = Replicas.create(opened.state(), names, consensus, new SecureRandom());
		RecordCodec<Command> commands = RecordCodec.of(Command.class);
		StateMachine machine = new StateMachine(commands, RecordCodec.of(ControlSnapshot.class, MAX_SNAPSHOT_BYTES));
		if (opened.state().snapshot().isPresent()) {
			machine.install(opened.state().snapshot().get());
		}
		LeaderDuties duties = new LeaderDuties(PlacementPolicies.balanced(), control);
		return new ControlLoop(new ControlParts(replica, opened.store(), machine, duties, commands, links, peers, clock,
				snapshotEvery));
	}

	/**
	 * A store with the content that it had at start. Immutable.
	 *
	 * @param store the store
	 * @param state its content
	 */
	public record OpenStore(ReplicaStore store, StoredState state) {

		/**
		 * Returns the replica's identity.
		 * @return the identity
		 */
		public ReplicaId id() {
			return this.state.id();
		}

	}

}
