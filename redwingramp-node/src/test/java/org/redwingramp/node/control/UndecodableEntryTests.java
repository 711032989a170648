package org.redwingramp.node.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.StoredState;
import org.redwingramp.storage.ReplicaStore;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against replicas whose states differ although their logs are the same. */
@Timeout(60)
class UndecodableEntryTests {

	private static final String REPLICA = "127.0.0.11";

	@TempDir
	private Path folder;

	/**
	 * Guards against a replica that leaves out a committed command of a newer version and
	 * goes on: later commands would have other results here than elsewhere.
	 */
	@Test
	void shouldStopAtACommittedEntryThatItCannotDecode() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, REPLICA)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			control.stop(REPLICA);
			appendUnknownCommand(control.dataFolder(REPLICA));
			control.start(REPLICA, false);
			control.awaitEnd(REPLICA);
		}
	}

	private static void appendUnknownCommand(Path dataFolder) throws Exception {
		try (ReplicaStore store = ReplicaStore.open(dataFolder, REPLICA, new Random(1))) {
			StoredState stored = store.load();
			LogEntry last = stored.entries().get(stored.entries().size() - 1);
			store.persist(
					new PersistBatch(1, Optional.empty(), Optional.empty(), 0, List.of(new LogEntry(last.index() + 1,
							last.term(), LogEntry.Kind.COMMAND, last.clockMillis(), new byte[] { 1, 2, 3 }))));
		}
	}

}
