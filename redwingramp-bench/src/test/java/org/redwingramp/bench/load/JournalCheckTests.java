package org.redwingramp.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a drill passing although callers received a false outcome: a request ran
 * twice, a request reported as "not run" ran, or an answered booking didn't run.
 */
class JournalCheckTests {

	@TempDir
	private Path folder;

	@Test
	void shouldAcceptOutcomesThatMatchTheJournals() throws IOException {
		writeJournal("taller-01", "a once", "l any", "l any");
		assertThat(check("a answered", "b notRun", "c unknown").consistent()).isTrue();
	}

	@Test
	void shouldFindASecondRunOnAnotherTarget() throws IOException {
		writeJournal("taller-01", "a once");
		writeJournal("taller-02", "a once");
		assertThat(check("a unknown").ranTwice()).containsExactly("a");
	}

	@Test
	void shouldFindFalseOutcomes() throws IOException {
		writeJournal("taller-01", "a once", "l any");
		JournalCheck.Finding finding = check("a notRun", "l not-run", "b answered");
		assertThat(finding.falseNotRun()).containsExactly("a", "l");
		assertThat(finding.answeredButNotRun()).containsExactly("b");
	}

	private void writeJournal(String target, String... lines) throws IOException {
		Files.write(this.folder.resolve(target + ".journal"), List.of(lines));
	}

	private JournalCheck.Finding check(String... outcomes) throws IOException {
		return JournalCheck.check(Files.write(this.folder.resolve("outcomes"), List.of(outcomes)), this.folder);
	}

}
