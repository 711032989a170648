package org.redwingramp.records;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings that are accepted although they violate a guarantee of the
 * daemon, and against secrets in findings or logs.
 */
class SettingsParserTests {

	private static final String SHARED_KEY = "Sekrit-0123456789-0123456789-0123456789";

	private static final String SINGLE_INSTANCE = """
			[instance]
			name = "single"
			failure_domain = "zona-capital"
			region = "guate-central"
			roles = ["control", "entry"]
			[listen]
			callers = "127.0.0.1:7101"
			operators = "127.0.0.1:7201"
			internal = "127.0.0.1:7301"
			[control]
			replicas = [{ name = "single", address = "127.0.0.1:7301" }]
			data_folder = "data"
			[operators]
			tokens = { ines = "Sekrit-operator-1" }
			[targets]
			token = "Sekrit-targets-01"
			[internal]
			shared_key = "%s"
			""".formatted(SHARED_KEY);

	@Test
	void shouldApplyDefaults() {
		Settings settings = parseValid(SINGLE_INSTANCE);
		assertThat(settings.controlTiming().gateLeaseNanos()).isEqualTo(700_000_000L);
		assertThat(settings.consensusTiming().heartbeatNanos()).isEqualTo(50_000_000L);
		assertThat(settings.limits().maxAnswerBodyBytes()).isEqualTo(4 * 1024 * 1024);
		assertThat(settings.operators().find("Sekrit-operator-1")).contains("ines");
		assertThat(settings.operators().find("Sekrit-operator-2")).isEmpty();
		assertThat(settings.callerToken()).isEmpty();
	}

	@Test
	void shouldNotRevealSecretsInFindingsOrToString() {
		assertThat(parseValid(SINGLE_INSTANCE).toString()).doesNotContain("Sekrit");
		assertThat(parseInvalid(SINGLE_INSTANCE.replace("tokens = { ines = \"Sekrit-operator-1\" }",
				"tokens = { Sekrit-operator-token = \"ines\" }")))
			.isNotEmpty()
			.noneMatch((finding) -> finding.text().contains("Sekrit"));
		assertThat(parseInvalid(SINGLE_INSTANCE.replace("Sekrit-targets-01", "Sekrit 2"))).isNotEmpty()
			.noneMatch((finding) -> finding.text().contains("Sekrit"));
		assertThat(parseInvalid(SINGLE_INSTANCE.replace("token = \"Sekrit", "token_file = \"Sekrit"))).isNotEmpty()
			.noneMatch((finding) -> finding.text().contains("Sekrit"));
		assertThat(parseInvalid(SINGLE_INSTANCE.replace("\"" + SHARED_KEY + "\"", SHARED_KEY))).isNotEmpty()
			.noneMatch((finding) -> finding.text().contains("Sekrit"));
	}

	@Test
	void shouldReportOneFindingPerError() {
		List<Finding> findings = parseInvalid(SINGLE_INSTANCE.replace("zona-capital", "Zona Capital")
			.replace("127.0.0.1:7201", "localhost:7201")
			.replace("data_folder", "data_foldr")
			.replace(SHARED_KEY, "short") + "[timing]\ngate_lease_ms = 250\n");
		assertThat(findings).extracting(Finding::field)
			.containsExactly("instance.failure_domain", "listen.operators", "control.data_foldr", "internal.shared_key",
					"timing.gate_lease_ms");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			internal = "127.0.0.1:7301"   | internal = "127.0.0.1:7302" | control.replicas
			internal = "127.0.0.1:7301"   | internal = "0.0.0.0:7301"   | listen.internal
			name = "single", address      | name = "other", address     | control.replicas
			data_folder = "data"          |                             | control.data_folder
			"control", "entry"            | "entry"                     | control.data_folder
			"control", "entry"            | "control"                   | listen.callers
			callers = "127.0.0.1:7101"    | callers = "127.0.0.1:7201"  | listen.operators
			Sekrit-targets-01             | Sekrit-operator-1           | targets.token
			[targets]                     | [target]                    | target
			shared_key =                  | shared_key_file =           | internal.shared_key_file
			""")
	void shouldRejectInconsistentSettings(String old, String replacement, String field) {
		assertThat(parseInvalid(SINGLE_INSTANCE.replace(old, (replacement != null) ? replacement : "")))
			.extracting(Finding::field)
			.contains(field);
	}

	// Among others, the loss of one heartbeat or renewal must not end a lease.
	@ParameterizedTest
	@CsvSource({ "entry_heartbeat_ms = 300", "grant_renewal_ms = 300", "grant_lease_ms = 800", "grant_timeout_ms = 301",
			"view_lifetime_ms = 3001", "view_lifetime_ms = 600", "consensus_heartbeat_ms = 100",
			"min_election_ms = 400", "max_election_ms = 701" })
	void shouldRejectInconsistentTiming(String timing) {
		String field = "timing." + timing.substring(0, timing.indexOf(' '));
		assertThat(parseInvalid(SINGLE_INSTANCE + "[timing]\n" + timing)).extracting(Finding::field)
			.containsOnly(field);
	}

	@Test
	void shouldRejectEvenNumberOfReplicasAndDuplicateNames() {
		assertThat(
				parseInvalid(SINGLE_INSTANCE.replace("}]", "}, { name = \"single\", address = \"127.0.0.1:7302\" }]")))
			.extracting(Finding::field)
			.contains("control.replicas", "control.replicas[1].name");
	}

	@Test
	void shouldReadSecretsFromFiles(@TempDir Path folder) throws IOException {
		Files.writeString(folder.resolve("key"), SHARED_KEY + "\n");
		Files.writeString(folder.resolve("ana"), "Sekrit-operator-3\n");
		String text = SINGLE_INSTANCE.replace("shared_key = \"" + SHARED_KEY + "\"", "shared_key_file = \"key\"")
			.replace("[targets]", "token_files = { ana = \"ana\" }\n[targets]");
		SettingsParseResult result = SettingsParser.parse(folder.resolve("settings.toml").toString(),
				text.getBytes(StandardCharsets.UTF_8));
		assertThat(result.findings()).isEmpty();
		assertThat(result.settings().orElseThrow().sharedKey().reveal()).isEqualTo(SHARED_KEY);
		assertThat(result.settings().orElseThrow().operators().find("Sekrit-operator-3")).contains("ana");
	}

	@ParameterizedTest
	@CsvSource({ "127.0.0.1:7301,true", "[::1]:7301,true", "256.0.0.1:1,false", "1.2.3:1,false", "host:1,false",
			"[fe80:1,false", "[1.2.3.4]:1,false", "127.0.0.1:65536,false", "127.0.0.1:0,false", "::1:7301,false" })
	void shouldParseOnlyIpAddressLiterals(String text, boolean valid) {
		assertThat(Endpoint.parse(text).isPresent()).isEqualTo(valid);
		assertThat(Endpoint.parse(text).flatMap((endpoint) -> Endpoint.parse(endpoint.toString())))
			.isEqualTo(Endpoint.parse(text));
	}

	private static Settings parseValid(String text) {
		SettingsParseResult result = SettingsParser.parse("settings.toml", text.getBytes(StandardCharsets.UTF_8));
		assertThat(result.findings()).isEmpty();
		return result.settings().orElseThrow();
	}

	private static List<Finding> parseInvalid(String text) {
		SettingsParseResult result = SettingsParser.parse("settings.toml", text.getBytes(StandardCharsets.UTF_8));
		assertThat(result.settings()).isEmpty();
		return result.findings();
	}

}
