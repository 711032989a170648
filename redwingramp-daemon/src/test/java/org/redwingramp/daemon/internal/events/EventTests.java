package org.redwingramp.daemon.internal.events;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventTests {

	private static final Path EVENTS_PAGE = Path.of("..", "docs", "EVENTS.md");

	/** Guards against events that docs/EVENTS.md lacks or describes differently. */
	@Test
	void shouldBeDocumented() throws IOException {
		List<String> lines = Files.readAllLines(EVENTS_PAGE);
		assertThat(Event.values()).allSatisfy((event) -> assertThat(lines).anyMatch((line) -> line
			.startsWith("| " + event.code() + " | " + event.level() + " | `" + event.template() + "` |")));
	}

	/** Guards against documented events that do not exist. */
	@Test
	void shouldCoverAllDocumentedEvents() throws IOException {
		List<String> codes = Arrays.stream(Event.values()).map(Event::code).toList();
		List<String> rows = Files.readAllLines(EVENTS_PAGE)
			.stream()
			.filter((line) -> line.startsWith("| RWR-"))
			.toList();
		assertThat(rows).hasSameSizeAs(codes);
	}

	/** Guards against event numbers that are used twice. */
	@Test
	void shouldHaveUniqueNumbers() {
		assertThat(Arrays.stream(Event.values()).map(Event::code)).doesNotHaveDuplicates();
	}

}
