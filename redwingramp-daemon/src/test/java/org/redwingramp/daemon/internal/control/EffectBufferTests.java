package org.redwingramp.daemon.internal.control;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.HardState;
import org.redwingramp.core.consensus.LogEntry;
import org.redwingramp.core.consensus.PersistBatch;
import org.redwingramp.core.consensus.ReplicaEffects;

import static org.assertj.core.api.Assertions.assertThat;

class EffectBufferTests {

	private final EffectBuffer buffer = new EffectBuffer();

	@Test
	void shouldMergeAppendsIntoOneBatch() {
		collect(batch(1, 0, 5));
		collect(batch(2, 0, 6));
		assertThat(this.buffer.takeBatches()).singleElement().satisfies((merged) -> {
			assertThat(merged.number()).isEqualTo(2);
			assertThat(merged.entries()).extracting(LogEntry::index).containsExactly(5L, 6L);
		});
		assertThat(this.buffer.isEmpty()).isTrue();
	}

	/**
	 * Guards against merging a truncation into the append before it, so that it removes
	 * entries that were appended before it in the same sync.
	 */
	@Test
	void shouldNotMergeABatchThatTruncates() {
		collect(batch(1, 0, 5));
		collect(batch(2, 5, 5));
		assertThat(this.buffer.takeBatches()).extracting(PersistBatch::truncateFrom).containsExactly(0L, 5L);
	}

	private void collect(PersistBatch batch) {
		this.buffer.collect(new ReplicaEffects(Optional.of(batch), List.of(), Optional.empty(), List.of(), List.of()));
	}

	private static PersistBatch batch(long number, long truncateFrom, long index) {
		return new PersistBatch(number, Optional.of(new HardState(1, Optional.empty())), Optional.empty(), truncateFrom,
				List.of(new LogEntry(index, 1, LogEntry.Kind.NO_OP, 0, new byte[0])));
	}

}
