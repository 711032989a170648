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
 * Reads the head of a record and passes the tables on to the reader of its kind and
 * schema version. Not thread safe; used by one parse.
 */
public final class RecordReader {

	/** The schema versions that are accepted. */
	public static final List<Integer> SCHEMAS = List.of(1, 2);

	private static final int MAX_PINNED_KEYS = 1000;

	private static final Map<String, DomainState> STATES = Map.of("in", DomainState.IN, "out", DomainState.OUT);

	private final TableReader root;

	private final FindingCollector findings;

	private final int schema;

	private final String name;

	private final long version;

	public RecordReader(TableReader root, FindingCollector findings) {
		this.root = root;
		this.findings = findings;
		this.schema = (int) root.number("schema", SCHEMAS.get(0), SCHEMAS.get(SCHEMAS.size() - 1));
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
	 * Reads the content. If the schema version or the kind is unknown, nothing else is
	 * reported about the content, since its rules are unknown too.
	 * @return the content, or empty after findings
	 */
	public Optional<RecordBody> body() {
		Optional<RecordKind> kind = kind();
		if (kind.isEmpty() || !this.root.valid("schema")) {
			this.root.finishRequired();
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
			this.root.refuse("name",
					"found " + Texts.quote(this.name) + "; allowed: " + TextRule.SERVICE_NAME.allowed());
		}
		return (this.schema == 1) ? ServiceSchemaOne.read(this.root, this.name)
				: ServiceSchemaTwo.read(this.root, this.name);
	}

	private RecordBody domain(TableReader table) {
		String region = table.text("region", TextRule.NAME);
		String state = table.text("state", TextRule.oneOf("in", "out"));
		table.finish();
		return new RecordBody.Domain(this.name, region, STATES.get(state));
	}

	private RecordBody pin(TableReader table) {
		String service = table.text("service", TextRule.SERVICE_NAME);
		String target = table.text("target", TextRule.NAME);
		List<String> keys = table.texts("keys", TextRule.KEY, 1, MAX_PINNED_KEYS);
		table.finish();
		return new RecordBody.Pin(this.name, service, target, keys);
	}

	/**
	 * Returns a value or its default as an {@code int}.
	 * @param value a value within the bounds of {@code int}
	 * @param fallback the default
	 * @return the value
	 */
	static int toInt(OptionalLong value, int fallback) {
		return Math.toIntExact(value.orElse(fallback));
	}

}
