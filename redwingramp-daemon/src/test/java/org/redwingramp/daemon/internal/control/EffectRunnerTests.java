package org.redwingramp.daemon.internal.control;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaEffects;

import static org.assertj.core.api.Assertions.assertThat;

class EffectRunnerTests {

	private final EffectRunner runner = new EffectRunner();

	@Test
	void shouldJoinAppendsIntoOneBatch() {
		gather(batch(1, 0, 5));
		gather(batch(2, 0, 6));
		assertThat(this.runner.takeBatches()).singleElement().satisfies((joined) -> {
			assertThat(joined.number()).isEqualTo(2);
			assertThat(joined.entries()).extracting(LogEntry::index).containsExactly(5L, 6L);
		});
		assertThat(this.runner.empty()).isTrue();
	}

	/**
	 * Guards against a truncation that removes entries appended before it in the same
	 * sync.
	 */
	@Test
	void shouldKeepATruncationApart() {
		gather(batch(1, 0, 5));
		gather(batch(2, 5, 5));
		assertThat(this.runner.takeBatches()).extracting(PersistBatch::truncateFrom).containsExactly(0L, 5L);
	}

	private void gather(PersistBatch batch) {
		this.runner.gather(new ReplicaEffects(Optional.of(batch), List.of(), Optional.empty(), List.of(), List.of()));
	}

	private static PersistBatch batch(long number, long truncateFrom, long index) {
		return new PersistBatch(number, Optional.of(new HardState(1, Optional.empty())), Optional.empty(), truncateFrom,
				List.of(new LogEntry(index, 1, LogEntry.Kind.NO_OP, 0, new byte[0])));
	}

}
