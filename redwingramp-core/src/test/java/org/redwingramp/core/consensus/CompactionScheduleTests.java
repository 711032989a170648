package org.redwingramp.core.consensus;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a log that is compacted too late for the memory of a replica. */
class CompactionScheduleTests {

	private static final int MAX_ENTRIES = 200;

	private final CompactionSchedule schedule = new CompactionSchedule(MAX_ENTRIES);

	/** Guards against a log of small entries that a restart has to read one by one. */
	@Test
	void shouldBeDueAfterTheNumberOfEntries() {
		apply(MAX_ENTRIES - 1, 10);
		assertThat(this.schedule.due()).isFalse();
		apply(1, 10);
		assertThat(this.schedule.due()).isTrue();
	}

	/** Guards against 200 configurations of 400 KB each in a heap of 96 MB. */
	@Test
	void shouldBeDueAfterFewLargeEntries() {
		apply(20, 400 * 1024);
		assertThat(this.schedule.due()).isFalse();
		apply(1, 400 * 1024);
		assertThat(this.schedule.due()).isTrue();
	}

	/** Guards against a compaction after each entry once the first was due. */
	@Test
	void shouldCountAnewAfterACompaction() {
		apply(MAX_ENTRIES, 400 * 1024);
		this.schedule.restart();
		assertThat(this.schedule.due()).isFalse();
	}

	private void apply(int entries, int bytes) {
		IntStream.range(0, entries)
			.forEach((i) -> this.schedule.applied(new LogEntry(i + 1L, 1, LogEntry.Kind.COMMAND, 0, new byte[bytes])));
	}

}
