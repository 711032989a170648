package org.redwingramp.daemon.internal.events;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventTests {

	private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");

	/** Guards against events that the catalogue lacks or describes differently. */
	@Test
	void shouldStandInTheCatalogue() throws IOException {
		List<String> lines = Files.readAllLines(CATALOGUE);
		assertThat(Event.values()).allSatisfy((event) -> assertThat(lines).anyMatch((line) -> line
			.startsWith("| " + event.code() + " | " + event.level() + " | `" + event.template() + "` |")));
	}

	/** Guards against catalogue rows without an event. */
	@Test
	void shouldCoverTheCatalogue() throws IOException {
		List<String> codes = Arrays.stream(Event.values()).map(Event::code).toList();
		List<String> rows = Files.readAllLines(CATALOGUE).stream().filter((line) -> line.startsWith("| RWR-")).toList();
		assertThat(rows).hasSameSizeAs(codes);
	}

	/** Guards against numbers that are used twice. */
	@Test
	void shouldHaveUniqueNumbers() {
		assertThat(Arrays.stream(Event.values()).map(Event::code)).doesNotHaveDuplicates();
	}

}
