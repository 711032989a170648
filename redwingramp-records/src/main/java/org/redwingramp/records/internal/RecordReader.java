package org.redwingramp.records.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

/**
 * Reads the header fields of a record and delegates its tables to the reader for its kind
 * and schema version. Not thread safe; use one instance per parse.
 */
public final class RecordReader {

	/** The supported schema versions in ascending order. */
	public static final List<Integer> SUPPORTED_SCHEMAS = List.of(1, 2);

	private static final int MAX_PINNED_KEYS = 1000;

	private static final Map<String, DomainState> DOMAIN_STATES = Map.of("in", DomainState.IN, "out", DomainState.OUT);

	private final TableReader root;

	private final FindingCollector findings;

	private final int schema;

	private final String name;

	private final long version;

	public RecordReader(TableReader root, FindingCollector findings) {
		this.root = root;
		this.findings = findings;
		this.schema = (int) root.number("schema", SUPPORTED_SCHEMAS.get(0),
				SUPPORTED_SCHEMAS.get(SUPPORTED_SCHEMAS.size() - 1));
		this.version = root.number("version", 1, Long.MAX_VALUE);
		this.name = root.text("name", TextRule.NAME);
	}

	public int schema() {
		return this.schema;
	}

	public String name() {
		return this.name;
	}

	public long version() {
		return this.version;
	}

	/**
	 * Reads the tables of the record. If the schema version or the kind is unknown, the
	 * tables are not validated, since their schema is unknown too.
	 * @return the body of the record, or empty if there are findings
	 */
	public Optional<RecordBody> body() {
		Optional<RecordKind> kind = kind();
		if (kind.isEmpty() || !this.root.valid("schema")) {
			this.root.reportMissingFields();
			return Optional.empty();
		}
		RecordBody body = switch (kind.get()) {
			case SERVICE -> service();
			case DOMAIN -> domain(this.root.table("domain"));
			case PIN -> pin(this.root.table("pin"));
		};
		this.root.finish();
		return this.findings.isEmpty() ? Optional.of(body) : Optional.empty();
	}

	private Optional<RecordKind> kind() {
		String kinds = Arrays.stream(RecordKind.values()).map(RecordKind::label).collect(Collectors.joining("|"));
		String label = this.root.text("kind", TextRule.of(kinds, "one of " + kinds.replace("|", ", ")));
		return RecordKind.find(label);
	}

	private RecordBody service() {
		if (!this.name.isEmpty() && !TextRule.SERVICE_NAME.allows(this.name)) {
			this.root.addFinding("name",
					"found " + Texts.quote(this.name) + "; allowed: " + TextRule.SERVICE_NAME.description());
		}
		return (this.schema == 1) ? ServiceSchemaOne.read(this.root, this.name)
				: ServiceSchemaTwo.read(this.root, this.name);
	}

	private RecordBody domain(TableReader table) {
		String region = table.text("region", TextRule.NAME);
		String state = table.text("state", TextRule.oneOf("in", "out"));
		table.finish();
		return new RecordBody.Domain(this.name, region, DOMAIN_STATES.get(state));
	}

	private RecordBody pin(TableReader table) {
		String service = table.text("service", TextRule.SERVICE_NAME);
		String target = table.text("target", TextRule.NAME);
		List<String> keys = table.distinctTexts("keys", TextRule.KEY, 1, MAX_PINNED_KEYS);
		table.finish();
		return new RecordBody.Pin(this.name, service, target, keys);
	}

	/**
	 * Returns an optional value as an {@code int}.
	 * @param value the value, which must be in the range of {@code int}
	 * @param defaultValue the default
	 * @return the value, or the default if it is missing
	 */
	static int intOrDefault(OptionalLong value, int defaultValue) {
		return Math.toIntExact(value.orElse(defaultValue));
	}

}
