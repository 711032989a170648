package org.redwingramp.storage.internal;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.consensus.Snapshot;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.storage.Samples;
import org.redwingramp.storage.StorageException;

import static org.assertj.core.api.Assertions.assertThat;

class RandomHistoryTests {

	private static final StoreLimits LIMITS = new StoreLimits(200, 10_000, 10_000);

	private static final Path FOLDER = Path.of("data");

	private Random random;

	// Guards against state that is lost or altered when the store continues after
	// repeated crashes and power losses. Compares the store with a model that keeps the
	// entries in a map.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldMatchTheModelAcrossCrashes(long seed) throws Exception {
		this.random = new Random(seed);
		for (int round = 0; round < 100; round++) {
			MemoryFiles files = new MemoryFiles();
			Model model = Model.EMPTY;
			for (int cycle = 0; cycle < 12; cycle++) {
				model = runUntilFailure(files, model);
				if (this.random.nextBoolean()) {
					files = files.afterPowerLoss(this.random);
				}
				files.stopFailing();
			}
		}
	}

	private Model runUntilFailure(MemoryFiles files, Model before) throws CorruptStorageException {
		files.failFrom(files.changes() + 1 + this.random.nextInt(60));
		Model model = before;
		try (ReplicaStore store = FileReplicaStore.open(FOLDER, Samples.NAME, this.random, files, LIMITS)) {
			model = before.recovered(Samples.describe(store.load()));
			while (true) {
				PersistBatch batch = model.randomBatch(this.random);
				model = model.submit(batch);
				store.persist(batch);
				model = model.acknowledge();
			}
		}
		catch (CorruptStorageException ex) {
			throw ex;
		}
		catch (StorageException ex) {
			assertThat(ex).hasMessageContaining("No space left");
		}
		return model;
	}

	/**
	 * The expected state of the store.
	 *
	 * @param hardState the acknowledged term and vote
	 * @param snapshot the acknowledged snapshot
	 * @param entries the acknowledged entries by index
	 * @param inFlight the state with the batch that is in flight applied, if there is one
	 */
	private record Model(HardState hardState, Optional<Snapshot> snapshot, TreeMap<Long, LogEntry> entries,
			Optional<Model> inFlight) {

		static final Model EMPTY = new Model(HardState.EMPTY, Optional.empty(), new TreeMap<>(), Optional.empty());

		Model recovered(String description) {
			String inFlightDescription = this.inFlight.map(Model::description).orElse("");
			assertThat(description).isIn(description(), inFlightDescription);
			return description.equals(inFlightDescription) ? this.inFlight.get()
					: new Model(this.hardState, this.snapshot, this.entries, Optional.empty());
		}

		Model submit(PersistBatch batch) {
			TreeMap<Long, LogEntry> after = new TreeMap<>(this.entries);
			batch.snapshot().ifPresent((installed) -> after.headMap(installed.index(), true).clear());
			if (batch.truncateFrom() > 0) {
				after.tailMap(batch.truncateFrom(), true).clear();
			}
			batch.entries().forEach((entry) -> after.put(entry.index(), entry));
			return new Model(this.hardState, this.snapshot, this.entries,
					Optional.of(new Model(batch.hardState().orElse(this.hardState), batch.snapshot().or(this::snapshot),
							after, Optional.empty())));
		}

		Model acknowledge() {
			return this.inFlight.orElseThrow();
		}

		PersistBatch randomBatch(Random random) {
			long base = this.snapshot.map(Snapshot::index).orElse(0L);
			long last = this.entries.isEmpty() ? base : this.entries.lastKey();
			Optional<HardState> newHardState = (random.nextInt(3) == 0) ? Samples.voteBatch(this.hardState.term() + 1)
				.hardState()
				.map((state) -> randomlyWithoutVote(state, random)) : Optional.empty();
			Optional<Snapshot> newSnapshot = (random.nextInt(6) == 0)
					? Samples.snapshotBatch(base + 1 + random.nextInt((int) (last - base) + 3)).snapshot()
					: Optional.empty();
			base = newSnapshot.map(Snapshot::index).orElse(base);
			last = Math.max(last, base);
			long truncateFrom = (random.nextInt(4) == 0 && last > base) ? last - random.nextInt((int) (last - base))
					: 0;
			long first = (truncateFrom > 0) ? truncateFrom : last + 1;
			List<LogEntry> appended = Samples.logEntries(first, first + random.nextInt(5) - 1);
			return new PersistBatch(1, newHardState, newSnapshot, truncateFrom, appended);
		}

		private static HardState randomlyWithoutVote(HardState state, Random random) {
			return random.nextBoolean() ? state : new HardState(state.term(), Optional.empty());
		}

		private String description() {
			return Samples.describe(new StoredState(new ReplicaId("", 0), this.hardState, this.snapshot,
					List.copyOf(this.entries.values())));
		}

	}

}
