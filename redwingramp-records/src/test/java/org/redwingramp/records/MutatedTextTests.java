package org.redwingramp.records;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Parses randomly mutated examples. Guards against texts that make a parser throw an
 * exception or return neither a value nor a finding, which the constructors of the parse
 * results reject. The seeds are fixed.
 */
class MutatedTextTests {

	private static final int ROUNDS = 3000;

	/**
	 * All parts of the examples' secrets that are as long as the shortest secret, 16
	 * characters. No finding may contain one.
	 */
	private static final List<String> SECRET_SUBSTRINGS = Stream
		.of("example-operator-token-replace", "example-target-token-replace",
				"example-shared-key-replace-by-32-random-characters")
		.flatMap((secret) -> IntStream.rangeClosed(0, secret.length() - 16)
			.mapToObj((start) -> secret.substring(start, start + 16)))
		.toList();

	private static final String INSERTED_CHARACTERS = "[]{}=.,\"'#\n\\-0a_\u00e9";

	@ParameterizedTest
	@ValueSource(strings = { "fuego-firme/taller-svc", "tillery/catalog-desk", "tillery/changes/pin-spring-rush" })
	void shouldReturnRecordOrFindings(String name) throws IOException {
		String text = Files.readString(Path.of("..", "examples", name + ".toml"));
		Random random = new Random(name.length());
		for (int round = 0; round < ROUNDS; round++) {
			String mutated = mutate(text, random);
			RecordParseResult result = RecordParser.parse("file.toml", mutated.getBytes(StandardCharsets.UTF_8));
			long lines = mutated.lines().count() + 1;
			assertThat(result.findings()).as(mutated).allMatch((finding) -> finding.line() <= lines);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "control", "entry", "single" })
	void shouldReturnSettingsOrFindingsWithoutSecrets(String name) throws IOException {
		Path file = Path.of("..", "examples", "settings", name + ".toml");
		String text = Files.readString(file);
		Random random = new Random(name.length());
		for (int round = 0; round < ROUNDS; round++) {
			String mutated = mutate(text, random);
			SettingsParseResult result = SettingsParser.parse(file.toString(),
					mutated.getBytes(StandardCharsets.UTF_8));
			assertThat(result.findings()).as(mutated)
				.noneMatch((finding) -> SECRET_SUBSTRINGS.stream().anyMatch(finding.text()::contains));
		}
	}

	private static String mutate(String text, Random random) {
		StringBuilder mutated = new StringBuilder(text);
		for (int change = random.nextInt(3); change >= 0; change--) {
			int start = random.nextInt(mutated.length());
			int end = Math.min(mutated.length(), start + random.nextInt(30));
			switch (random.nextInt(3)) {
				case 0 -> mutated.delete(start, end);
				case 1 ->
					mutated.insert(start, INSERTED_CHARACTERS.charAt(random.nextInt(INSERTED_CHARACTERS.length())));
				default -> mutated.insert(random.nextInt(mutated.length()), mutated.substring(start, end));
			}
		}
		return mutated.toString();
	}

}
