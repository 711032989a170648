package org.redwingramp.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.support.ReservedPorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reporting an outcome that no instance has confirmed. Scripts act on the
 * exit codes.
 */
@Timeout(30)
class RedwingrampTests {

	private static final String POST = "POST /v1/records";

	private static final String DOMAIN = """
			schema = 1
			kind = "domain"
			name = "zona-mixco"
			version = 2
			[domain]
			region = "guate-central"
			state = "out"
			""";

	private static final String ACCEPTED = """
			{"kind": "domain", "name": "zona-mixco", "version": 2, "revision": 12, "viewVersion": 345,
			"repeated": false}""";

	private final Map<String, String> environment = new HashMap<>();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path directory;

	private FakeOperatorApi first;

	private FakeOperatorApi second;

	private ReservedPorts unused;

	private String file;

	@BeforeEach
	void start() throws Exception {
		this.first = new FakeOperatorApi();
		this.second = new FakeOperatorApi();
		this.unused = ReservedPorts.reserve();
		this.file = Files.writeString(this.directory.resolve("mixco.toml"), DOMAIN).toString();
		this.environment.put("REDWINGRAMP_TOKEN", FakeOperatorApi.TOKEN);
		this.environment.put("REDWINGRAMP_ENDPOINTS", this.first.endpoint() + ", " + this.second.endpoint());
	}

	@AfterEach
	void stop() throws Exception {
		this.first.close();
		this.second.close();
		this.unused.close();
	}

	@Test
	void shouldSubmitAndReportWhenInForceEverywhere() {
		this.first.reply(POST, 200, ACCEPTED)
			.reply("GET /v1/watch", 200, "{\"viewVersion\": 346, \"versionInForce\": 344, \"changes\": []}")
			.reply("GET /v1/watch", 200, "{\"viewVersion\": 346, \"versionInForce\": 345, \"changes\": []}");
		assertThat(run("revise", this.file, "--wait")).isEqualTo(ExitCode.OK);
		assertThat(out()).startsWith("accepted domain zona-mixco version 2 as revision 12, view version 345\n")
			.containsPattern("in force everywhere after [0-9]+ ms");
		assertThat(this.first.requests.get(0)).isEqualTo("POST /v1/records revise");
		assertThat(this.first.bodies.get(0)).isEqualTo(DOMAIN);
		assertThat(this.first.requests).filteredOn((request) -> request.contains("/v1/watch"))
			.hasSize(2)
			.allMatch((request) -> request.contains("in_force=345"));
	}

	@Test
	void shouldNotClaimInForceAfterTimeout() {
		this.first.reply(POST, 200, ACCEPTED)
			.reply("GET /v1/watch", 200, "{\"viewVersion\": 346, \"versionInForce\": 344, \"changes\": []}");
		assertThat(run("submit", this.file, "--wait", "--timeout", "1", "--json")).isEqualTo(ExitCode.UNKNOWN);
		assertThat(out()).contains("\"revision\":12").doesNotContain("inForceMillis");
		assertThat(err()).contains("isn't in force everywhere");
	}

	@Test
	void shouldSendNothingIfAnyFileHasFindings() throws IOException {
		String invalidFile = Files.writeString(this.directory.resolve("wrong.toml"), DOMAIN.replace("out", "off"))
			.toString();
		assertThat(run("submit", this.file, invalidFile)).isEqualTo(ExitCode.FINDINGS);
		assertThat(err()).contains("wrong.toml:7:1: domain.state: found \"off\"; allowed: one of in, out");
		assertThat(this.first.requests).isEmpty();
		assertThat(run("validate", this.file, invalidFile, "missing.toml")).isEqualTo(ExitCode.FINDINGS);
		assertThat(out()).contains("valid: domain zona-mixco version 2, schema 1");
		assertThat(err()).contains("missing.toml: the file can't be read");
	}

	@Test
	void shouldReportRefusalWithFindingsWithoutTryingOtherInstances() {
		this.first.reply(POST, 422, """
				{"code": "invalid-record", "outcome": "not-run", "detail": "the record has 1 finding", "findings":
				[{"file": "m.toml", "line": 4, "column": 1, "field": "version", "message": "too \\u001b[2Jlow"}]}""");
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.REFUSED);
		assertThat(err()).contains("the record has 1 finding (invalid-record)")
			.contains("m.toml:4:1: version: too ?[2Jlow");
		assertThat(this.second.requests).isEmpty();
	}

	@Test
	void shouldNotPrintRefusedToken() {
		this.environment.put("REDWINGRAMP_TOKEN", "Sekrit-wrong");
		assertThat(run("status")).isEqualTo(ExitCode.REFUSED);
		assertThat(err()).contains("token isn't accepted").doesNotContain("Sekrit");
	}

	@Test
	void shouldTryNextInstanceIfConnectionFails() {
		this.second.reply(POST, 200, ACCEPTED);
		assertThat(run("submit", this.file, "--endpoint", unusedEndpoint(), "--endpoint", this.second.endpoint()))
			.isEqualTo(ExitCode.OK);
		assertThat(this.first.requests).isEmpty();
	}

	@Test
	void shouldReportUnreachableIfNothingWasSent() {
		assertThat(run("submit", this.file, "--endpoint", unusedEndpoint())).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(err()).contains("nothing was changed");
	}

	@Test
	void shouldReportUnknownOutcomeIfResponsesAreLost() {
		this.first.closeConnection(POST).closeConnection("GET /v1/status");
		this.second.reply(POST, new FakeOperatorApi.Reply(200, ACCEPTED, 20, false)).closeConnection("GET /v1/status");
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.UNKNOWN);
		assertThat(this.second.requests).isNotEmpty();
		assertThat(run("status")).isEqualTo(ExitCode.UNREACHABLE);
	}

	@Test
	void shouldNotReportLaterRefusalAsOutcomeOfLostResponse() {
		this.first.closeConnection(POST);
		this.second.refuse(POST, 409, "version-outdated", "not-run");
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.UNKNOWN);
		assertThat(err()).contains("version-outdated").contains("may have been accepted");
	}

	@Test
	void shouldResendAfterLostResponseSinceSubmissionIsIdempotent() {
		this.first.closeConnection(POST);
		this.second.reply(POST, 200, ACCEPTED.replace("false", "true"));
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("it had been done before");
	}

	@Test
	void shouldRetryDuringElectionUntilTimeout() {
		this.environment.put("REDWINGRAMP_ENDPOINTS", this.first.endpoint());
		this.first.refuse(POST, 503, "no-leader", "not-run").reply(POST, 200, ACCEPTED);
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.OK);
		this.first.refuse("GET /v1/status", 503, "no-leader", "not-run");
		assertThat(run("status", "--timeout", "1")).isEqualTo(ExitCode.UNREACHABLE);
		this.first.refuse("DELETE /v1/records/pin/p", 504, "outcome-unknown", "unknown");
		assertThat(run("withdraw", "pin", "p", "--version", "3", "--timeout", "1")).isEqualTo(ExitCode.UNKNOWN);
		assertThat(this.first.requests).anyMatch((request) -> request.contains("pin/p?version=3"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "zona-mixco/zona-capital", "\"version\": 2/\"version\": 3", "345/0" })
	void shouldNotReportResponseAboutAnotherRecordAsAcceptance(String change) {
		this.first.reply(POST, 200, ACCEPTED.replace(change.split("/")[0], change.split("/")[1]));
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.UNKNOWN);
		assertThat(out()).isEmpty();
	}

	@Test
	void shouldNotReportMalformedResponseAsAcceptance() {
		this.first.reply(POST, 200, "[1]");
		this.second.reply(POST, 200, "{\"revision\"");
		assertThat(run("submit", this.file)).isEqualTo(ExitCode.UNKNOWN);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "summit f", "submit", "status extra", "status --wait", "list zone", "show pin A/b",
			"show pin ..", "withdraw pin p", "withdraw pin p --version 0", "watch --since -1",
			"status --endpoint localhost:1", "status --timeout 0", "status --nope",
			"status --token-file /nowhere/token", "validate f --endpoint 1.1.1.1:1" })
	void shouldRejectInvalidUsageWithoutSending(String line) {
		assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitCode.USAGE);
		assertThat(err()).startsWith("redwingramp: ");
		assertThat(this.first.requests).isEmpty();
	}

	@Test
	void shouldWatchUntilCurrentViewIsInForce() {
		this.first.reply("GET /v1/status", 200, "{\"viewVersion\": 10}")
			.reply("GET /v1/watch", 200,
					"""
							{"viewVersion": 9, "versionInForce": 8, "complete": false, "changes": [
							{"viewVersion": 9, "resource": "record", "name": "pin/p", "change": "set", "detail": "version 1"}]}""")
			.reply("GET /v1/watch", 200, "{\"viewVersion\": 11, \"versionInForce\": 10, \"changes\": []}");
		assertThat(run("watch", "--since", "7", "--until-in-force")).isEqualTo(ExitCode.OK);
		assertThat(out()).isEqualTo("9 record pin/p set: version 1\nview version 10 is in force everywhere\n");
		assertThat(err()).contains("may be missing");
		assertThat(this.first.requests).anyMatch((request) -> request.contains("since=7"))
			.anyMatch((request) -> request.contains("since=9"));
	}

	@Test
	void shouldEndWatchAfterTimeout() {
		this.first.reply("GET /v1/status", 200, "{\"viewVersion\": 10}")
			.reply("GET /v1/watch", 200, "{\"viewVersion\": 10, \"versionInForce\": 8, \"changes\": []}");
		assertThat(run("watch", "--timeout", "1")).isEqualTo(ExitCode.OK);
		assertThat(run("watch", "--timeout", "1", "--until-in-force")).isEqualTo(ExitCode.UNKNOWN);
	}

	@Test
	void shouldPrintRecordsStatusAndExplanation() {
		this.first
			.reply("GET /v1/records", 200,
					"{\"records\": [{\"kind\": \"pin\", \"name\": \"p\", \"version\": 3, \"digest\": \"ab\"}]}")
			.reply("GET /v1/records/pin/p", 200, "{\"kind\": \"pin\", \"text\": \"schema = 1\\nkind = 'pin'\\n\"}")
			.reply("GET /v1/status", 200, """
					{"clusterId": "5f0c", "leader": "", "viewVersion": 3, "versionInForce": 2, "revision": 1,
					"entries": [{"name": "entry-a", "viewVersion": 2}]}""")
			.reply("GET /v1/explain", 200, "{\"shard\": \"taller-svc/17\", \"reasons\": [\"slice 17 is owned\"]}");
		assertThat(run("list", "pin")).isEqualTo(ExitCode.OK);
		assertThat(run("show", "pin", "p")).isEqualTo(ExitCode.OK);
		assertThat(run("status")).isEqualTo(ExitCode.OK);
		assertThat(run("explain", "taller-svc", "a&b=\u00fc/", "--json")).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("pin   p     3        -       -         -            ab\n")
			.contains("schema = 1\nkind = 'pin'\n")
			.contains("leader none\n")
			.contains("entry-a")
			.contains("{\"shard\":\"taller-svc/17\"");
		assertThat(this.first.requests)
			.anyMatch((request) -> request.contains("service=taller-svc&key=a%26b%3D%C3%BC%2F"));
	}

	@Test
	void shouldDocumentSubcommandsAndExitCodes() {
		assertThat(run("--help")).isEqualTo(ExitCode.OK);
		assertThat(out()).contains("withdraw KIND NAME --version N", "explain SERVICE", "--until-in-force",
				"5 the outcome");
		assertThat(run("watch", "--help")).isEqualTo(ExitCode.OK);
		assertThat(run("--version")).isEqualTo(ExitCode.OK);
		assertThat(Arrays.stream(ExitCode.values()).map(ExitCode::code)).containsExactly(0, 1, 2, 3, 4, 5);
	}

	private ExitCode run(String... args) {
		return Redwingramp.run(args, this.environment, new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	private String out() {
		return this.out.toString(StandardCharsets.UTF_8);
	}

	private String err() {
		return this.err.toString(StandardCharsets.UTF_8);
	}

	private String unusedEndpoint() {
		return "127.0.0.1:" + this.unused.port(0);
	}

}
