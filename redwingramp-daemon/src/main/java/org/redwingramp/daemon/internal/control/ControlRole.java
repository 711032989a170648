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
 * Opens the data folder and creates the control loop with its components. Stateless and
 * thread safe.
 */
public final class ControlRole {

	private static final int MAX_ENCODED_STATE_BYTES = 512 * 1024 * 1024;

	private ControlRole() {
	}

	/**
	 * Opens a data folder. A damaged folder is moved aside, and the replica starts empty
	 * under a new incarnation, so that it can't vote as if it still knew its earlier
	 * votes.
	 * @param folder the data folder
	 * @param name the replica's name
	 * @return the open store with the state loaded from it
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
			ReplicaStore emptyStore = ReplicaStore.reset(folder, name, random);
			return new OpenStore(emptyStore, emptyStore.load());
		}
	}

	/**
	 * Creates the control loop.
	 * @param opened the open store with the state loaded from it
	 * @param peers the replicas of the group
	 * @param links the links to the other replicas
	 * @param consensus the timing of the consensus protocol
	 * @param control the timing of leases and heartbeats
	 * @param snapshotEvery the number of log entries between two snapshots
	 * @param clock the monotonic clock in nanoseconds
	 * @return the loop, not yet running
	 * @throws CodecException if the stored snapshot can't be decoded
	 */
	public static ControlLoop create(OpenStore opened, ControlPeers peers, ReplicaLinks links,
			ConsensusTiming consensus, ControlTiming control, int snapshotEvery, LongSupplier clock)
			throws CodecException {
		List<String> names = peers.addresses().keySet().stream().sorted().toList();
		Replica replica = Replicas.create(opened.state(), names, consensus, new SecureRandom());
		RecordCodec<Command> commandCodec = RecordCodec.of(Command.class);
		StateMachine stateMachine = new StateMachine(commandCodec,
				RecordCodec.of(ControlSnapshot.class, MAX_ENCODED_STATE_BYTES));
		if (opened.state().snapshot().isPresent()) {
			stateMachine.installSnapshot(opened.state().snapshot().get());
		}
		LeaderTasks leaderTasks = new LeaderTasks(PlacementPolicies.balanced(), control);
		return new ControlLoop(new ControlLoopComponents(replica, opened.store(), stateMachine, leaderTasks,
				commandCodec, links, peers, clock, snapshotEvery));
	}

	/**
	 * An open store with the state that was loaded from it at start. Immutable.
	 *
	 * @param store the store
	 * @param state the loaded state
	 */
	public record OpenStore(ReplicaStore store, StoredState state) {

		/**
		 * Returns the replica's identity.
		 * @return the replica's name and incarnation
		 */
		public ReplicaId id() {
			return this.state.id();
		}

	}

}
