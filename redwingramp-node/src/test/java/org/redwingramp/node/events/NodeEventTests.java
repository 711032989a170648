package org.redwingramp.node.events;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against differences between the log events and their catalogue for operators,
 * docs/NODE-EVENTS.md: events that are missing there, have another name there or don't
 * exist any more.
 */
class NodeEventTests {

	private static final Path CATALOGUE = Path.of("..", "docs", "NODE-EVENTS.md");

	@Test
	void shouldMatchTheCatalogue() throws IOException {
		List<String> rows = Files.readAllLines(CATALOGUE).stream().filter((line) -> line.startsWith("| RWR-")).toList();
		assertThat(rows).hasSameSizeAs(NodeEvent.values());
		assertThat(NodeEvent.values()).allSatisfy((event) -> assertThat(rows).anyMatch((line) -> line.startsWith(
				"| " + event.code() + " | `" + event.name().toLowerCase(Locale.ROOT).replace('_', '-') + "` |")));
	}

	@Test
	void shouldHaveUniqueCodes() {
		assertThat(Arrays.stream(NodeEvent.values()).map(NodeEvent::code)).doesNotHaveDuplicates();
	}

}
