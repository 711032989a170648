package org.redwingramp.daemon.internal.route;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class ProblemTests {

	private static final Path CALLERS_PAGE = Path.of("..", "docs", "CALLERS.md");

	/** Guards against problem codes that the callers' documentation lacks. */
	@Test
	void shouldBeDocumentedForCallers() throws IOException {
		String page = Files.readString(CALLERS_PAGE);
		assertThat(Problem.values()).allSatisfy((problem) -> assertThat(page.lines()
			.filter((line) -> line.startsWith("| " + problem.status() + " |"))
			.filter((line) -> line.contains("`" + problem.code() + "`"))
			.filter((line) -> line.contains(problem.outcome().headerValue()))).hasSize(1));
	}

	/** Guards against a status that may mean both "not run" and "unknown". */
	@Test
	void shouldUseDifferentStatusesForNotRunAndUnknown() {
		for (Problem notRun : Problem.values()) {
			for (Problem unknown : Problem.values()) {
				if (notRun.outcome() == Outcome.NOT_RUN && unknown.outcome() == Outcome.UNKNOWN) {
					assertThat(notRun.status()).isNotEqualTo(unknown.status());
				}
			}
		}
	}

}
