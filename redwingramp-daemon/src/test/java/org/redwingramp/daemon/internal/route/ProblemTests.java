package org.redwingramp.daemon.internal.route;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class ProblemTests {

	private static final Path PAGE = Path.of("..", "docs", "CALLERS.md");

	/** Guards against codes that callers can't look up. */
	@Test
	void shouldStandOnTheCallersPage() throws IOException {
		String page = Files.readString(PAGE);
		assertThat(Problem.values()).allSatisfy((problem) -> assertThat(page.lines()
			.filter((line) -> line.startsWith("| " + problem.status() + " |"))
			.filter((line) -> line.contains("`" + problem.code() + "`"))
			.filter((line) -> line.contains(problem.outcome().headerValue()))).hasSize(1));
	}

	/** Guards against an unknown outcome behind a status that stands for "not run". */
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
