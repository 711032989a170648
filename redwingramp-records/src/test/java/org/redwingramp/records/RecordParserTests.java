package org.redwingramp.records;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RequestClass;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against invalid records that are accepted, and against findings with a wrong or
 * missing location.
 */
class RecordParserTests {

	private static final String HEADER_FIELDS = "kind = \"service\"\nname = \"cobro-svc\"\nversion = 1\n";

	private static final String SCHEMA_ONE = "schema = 1\n" + HEADER_FIELDS
			+ "[service]\nslots = 3\nconnections = 110\n" + "checks_fences = true\n";

	private static final String SCHEMA_TWO = "schema = 2\n" + HEADER_FIELDS + "[service]\nchecks_fences = true\n"
			+ "[limits]\nslots = 3\nconnections = 110\n";

	@Test
	void shouldMapBothSchemasToTheSameBody() {
		OperatorRecord one = parseValid(SCHEMA_ONE + "key_header = \"Unit\"\nmax_deadline_ms = 5000\n"
				+ "retention_s = 60\nidempotent = [\"GET /a\"]\ndeferrable = [\"POST /a/b\"]\n");
		OperatorRecord two = parseValid("schema = 2\n" + HEADER_FIELDS
				+ "[service]\nchecks_fences = true\nkey.header = \"Unit\"\n[limits]\nslots = 3\nconnections = 110\n"
				+ "max_deadline_ms = 5000\n[retention]\nrequest_identity_s = 60\n"
				+ "[[route]]\nmethods = [\"POST\"]\npath = \"/a/b\"\nclass = \"deferrable\"\n"
				+ "[[route]]\nmethods = [\"GET\"]\npath = \"/a\"\nclass = \"idempotent\"\n");
		assertThat(one.body()).isEqualTo(two.body());
		assertThat(one.schema()).isEqualTo(1);
		assertThat(two.schema()).isEqualTo(2);
		assertThat(((RecordBody.Service) one.body()).keySource()).isEqualTo(KeySource.header("Unit"));
	}

	// Otherwise a broad idempotent list entry would let a payment be retried.
	@Test
	void shouldApplyLongestPathPrefixInSchemaOne() {
		RecordBody.Service service = (RecordBody.Service) parseValid(
				SCHEMA_ONE + "idempotent = [\"POST /\"]\nat_most_once = [\"POST /royalties\"]\n")
			.body();
		assertThat(service.rule("POST", "/royalties/7").requestClass()).isEqualTo(RequestClass.AT_MOST_ONCE);
		assertThat(service.slices()).isEqualTo(1);
	}

	@Test
	void shouldRejectRouteShadowedByEarlierRoute() {
		List<Finding> findings = parseInvalid(
				SCHEMA_TWO + "[[route]]\nmethods = [\"GET\", \"POST\"]\npath = \"/\"\nclass = \"idempotent\"\n"
						+ "[[route]]\nmethods = [\"POST\"]\npath = \"/royalties\"\nclass = \"at-most-once\"\n");
		assertThat(findings).singleElement().satisfies((finding) -> {
			assertThat(finding.field()).isEqualTo("route[1].path");
			assertThat(finding.line()).isEqualTo(16);
			assertThat(finding.message()).contains("never applies to POST");
		});
	}

	@Test
	void shouldReportAllErrorsWithTheirLocations() {
		List<Finding> findings = parseInvalid("schema = 2\n" + HEADER_FIELDS
				+ "[service]\n  checks_fenses = true\nslices = 7\n"
				+ "[limits]\nslots = 0\nconnections = \"many\"\nqueue_limit = 1.5\n[retention]\nrequest_identity_s = 1\n"
				+ "[[route]]\nmethods = [\"GET\", \"FETCH\"]\npath = \"/a?b\"\nclass = \"once\"\n");
		assertThat(findings).extracting(Finding::field)
			.containsExactly("service.checks_fenses", "service.slices", "limits.slots", "limits.connections",
					"limits.queue_limit", "retention.request_identity_s", "route[0].methods[1]", "route[0].path",
					"route[0].class");
		assertThat(findings.get(0).text())
			.isEqualTo("file.toml:6:3: service.checks_fenses: unknown name \"checks_fenses\"; did you mean"
					+ " checks_fences?");
		assertThat(findings.get(2).message()).isEqualTo("found 0; allowed: an integer from 1 to 1024");
		assertThat(findings.get(6)).extracting(Finding::line, Finding::column).containsExactly(15, 19);
	}

	@Test
	void shouldRejectRequestInTwoListsOfSchemaOne() {
		assertThat(parseInvalid(SCHEMA_ONE + "idempotent = [\"POST /a\"]\ndeferrable = [\"POST /a\"]\n"))
			.singleElement()
			.satisfies((finding) -> assertThat(finding.message()).contains("is also listed under idempotent"));
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			schema = 3  | kind = "domain"  | schema | an integer from 1 to 2
			schema = 1  | kind = "domian"  | kind   | one of service, domain, pin
			schema = 99999999999999999999999 | kind = "pin" | schema | an integer from 1 to 2
			""")
	void shouldNotValidateTablesOfUnknownSchemaOrKind(String schema, String kind, String field, String allowed) {
		assertThat(parseInvalid(schema + "\n" + kind + "\nname = \"a\"\nversion = 1\n[new]\nx = 1\n")).singleElement()
			.satisfies((finding) -> {
				assertThat(finding.field()).isEqualTo(field);
				assertThat(finding.message()).endsWith(allowed);
			});
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			'# empty'                         | schema,version,name,kind
			[pin]                             | schema,version,name,kind
			schema = 1;kind = "pin"           | version,name,pin
			schema = 1;knd = "pin";[pin]      | version,name,knd
			schma = 1;kind = "pin";[pin]      | version,name,schma
			schema = 1;kind = "pni"           | version,name,kind
			schema = 9;kind = "pin";new = 1   | version,name,schema
			""")
	void shouldReportMissingHeaderFields(String text, String fields) {
		assertThat(parseInvalid(text.replace(';', '\n'))).extracting(Finding::field)
			.containsExactlyInAnyOrder(fields.split(","));
	}

	@Test
	void shouldReadDomainsAndPinsInBothSchemas() {
		for (int schema = 1; schema <= 2; schema++) {
			assertThat(parseValid("schema = " + schema + "\nkind = \"domain\"\nname = \"zona-mixco\"\nversion = 2\n"
					+ "[domain]\nregion = \"guate-central\"\nstate = \"out\"\n")
				.body()).isEqualTo(new RecordBody.Domain("zona-mixco", "guate-central", DomainState.OUT));
			assertThat(parseValid("schema = " + schema + "\nkind = \"pin\"\nname = \"p\"\nversion = 1\n"
					+ "[pin]\nservice = \"taller-svc\"\ntarget = \"t-1\"\nkeys = [\"k\"]\n")
				.body()).isEqualTo(new RecordBody.Pin("p", "taller-svc", "t-1", List.of("k")));
		}
	}

	@Test
	void shouldComputeDifferentDigestsForDifferentTexts() {
		OperatorRecord record = parseValid(SCHEMA_ONE);
		assertThat(record.digest()).hasSize(64).isNotEqualTo(parseValid(SCHEMA_ONE + "# comment\n").digest());
		assertThat(record.text()).isEqualTo(SCHEMA_ONE);
	}

	@Test
	void shouldLimitSizeNestingAndListLengths() {
		assertThat(parseInvalid("#".repeat(RecordParser.MAX_BYTES + 1))).singleElement()
			.satisfies((finding) -> assertThat(finding.message()).contains("must not exceed 65536 bytes"));
		assertThat(parseInvalid("a = " + "[".repeat(5000))).singleElement();
		assertThat(parseInvalid("a." + "b.".repeat(5000) + "c = 1")).singleElement();
		assertThat(parseInvalid("a = [" + "1,".repeat(1001) + "]")).singleElement()
			.satisfies((finding) -> assertThat(finding.message()).contains("must not exceed 1000 items (was 1001)"));
		assertThat(parseInvalid("a = " + "9".repeat(5000))).singleElement();
		assertThat(parseInvalid("a".repeat(257) + " = 1")).singleElement()
			.satisfies((finding) -> assertThat(finding.message()).contains("256"));
	}

	@Test
	void shouldLocateSyntaxErrorsAndRejectInvalidUtf8() {
		assertThat(parseInvalid("schema = 1\nkind = service\n")).singleElement()
			.satisfies((finding) -> assertThat(finding.line()).isEqualTo(2));
		assertThat(RecordParser.parse("file.toml", new byte[] { (byte) 0xff }).findings()).singleElement()
			.satisfies((finding) -> assertThat(finding.message()).contains("UTF-8"));
	}

	@Test
	void shouldReplaceControlCharactersInFindings() {
		assertThat(parseInvalid("\"\\u001b[2J\" = 1\n" + SCHEMA_ONE)).singleElement()
			.satisfies((finding) -> assertThat(finding.text()).doesNotContain("\u001b"));
	}

	private static OperatorRecord parseValid(String text) {
		RecordParseResult result = RecordParser.parse("file.toml", text.getBytes(StandardCharsets.UTF_8));
		assertThat(result.findings()).isEmpty();
		return result.record().orElseThrow();
	}

	private static List<Finding> parseInvalid(String text) {
		RecordParseResult result = RecordParser.parse("file.toml", text.getBytes(StandardCharsets.UTF_8));
		assertThat(result.record()).isEmpty();
		return result.findings();
	}

}
