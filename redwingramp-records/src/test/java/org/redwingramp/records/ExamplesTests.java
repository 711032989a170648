package org.redwingramp.records;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the example files. Operators copy them, so the daemon must accept them, and they
 * must not classify payments as idempotent.
 */
class ExamplesTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	@ParameterizedTest
	@MethodSource("records")
	void shouldAcceptRecord(Path file) throws IOException {
		assertThat(RecordParser.parse(file.toString(), Files.readAllBytes(file)).findings()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "control", "entry", "single" })
	void shouldAcceptSettings(String name) throws IOException {
		Path file = EXAMPLES.resolve("settings").resolve(name + ".toml");
		assertThat(SettingsParser.parse(file.toString(), Files.readAllBytes(file)).findings()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "fuego-firme/taller-svc POST /visits AT_MOST_ONCE",
			"fuego-firme/taller-svc POST /orders/valve-9 AT_MOST_ONCE",
			"fuego-firme/taller-svc GET /history/wok-4411 IDEMPOTENT",
			"fuego-firme/cobro-svc POST /royalties AT_MOST_ONCE", "tillery/catalog-desk GET /pallets/7 IDEMPOTENT",
			"tillery/catalog-desk POST /deposits DEFERRABLE", "tillery/freight-desk POST /shipments AT_MOST_ONCE" })
	void shouldAssignRequestClassesToExampleRequests(String text) throws IOException {
		String[] parts = text.split(" ");
		RecordBody.Service service = (RecordBody.Service) record(EXAMPLES.resolve(parts[0] + ".toml")).body();
		assertThat(service.rule(parts[1], parts[2]).requestClass()).isEqualTo(RequestClass.valueOf(parts[3]));
	}

	@Test
	void shouldMatchCapacityOfDeploymentsAndCoverBothSchemas() throws IOException {
		for (String name : List.of("taller-svc", "cobro-svc")) {
			assertThat(service("fuego-firme/" + name))
				.extracting(RecordBody.Service::slots, RecordBody.Service::connections)
				.containsExactly(3, 110);
		}
		for (String name : List.of("catalog-desk", "freight-desk")) {
			assertThat(service("tillery/" + name))
				.extracting(RecordBody.Service::slots, RecordBody.Service::connections)
				.containsExactly(6, 60);
		}
		assertThat(record(EXAMPLES.resolve("fuego-firme/taller-svc.toml")).schema()).isEqualTo(1);
		assertThat(record(EXAMPLES.resolve("fuego-firme/cobro-svc.toml")).schema()).isEqualTo(2);
	}

	private static RecordBody.Service service(String name) throws IOException {
		return (RecordBody.Service) record(EXAMPLES.resolve(name + ".toml")).body();
	}

	private static OperatorRecord record(Path file) throws IOException {
		return RecordParser.parse(file.toString(), Files.readAllBytes(file)).record().orElseThrow();
	}

	static List<Path> records() throws IOException {
		try (Stream<Path> files = Stream.concat(Files.walk(EXAMPLES.resolve("fuego-firme")),
				Files.walk(EXAMPLES.resolve("tillery")))) {
			return files.filter((file) -> file.toString().endsWith(".toml")).sorted(Comparator.naturalOrder()).toList();
		}
	}

}
