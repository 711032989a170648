package org.redwingramp.records.internal;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.logging.Level;
import java.util.stream.Collectors;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.records.Endpoint;
import org.redwingramp.records.InstanceRole;
import org.redwingramp.records.Secret;
import org.redwingramp.records.Settings;

/**
 * Reads and validates the tables of the settings. Not thread safe; use one instance per
 * parse.
 */
public final class SettingsReader {

	private static final TextRule ROLE = TextRule
		.oneOf(Arrays.stream(InstanceRole.values()).map(InstanceRole::label).toArray(String[]::new));

	private static final TextRule LEVEL = TextRule.oneOf("severe", "warning", "info", "fine", "finer");

	private static final int MAX_REPLICAS = 7;

	private static final int DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 10_000;

	private static final int MIN_SNAPSHOT_INTERVAL_ENTRIES = 100;

	private static final int MAX_SNAPSHOT_INTERVAL_ENTRIES = 10_000_000;

	private static final int MIB = 1024 * 1024;

	/** Leaves room for the message envelope in a frame of 5 MiB. */
	private static final int MAX_BODY_BYTES = 4 * MIB;

	private static final int DEFAULT_CONCURRENT_REQUESTS = 4096;

	private static final int MAX_CONCURRENT_REQUESTS = 65_536;

	private final TableReader root;

	private final FindingCollector findings;

	private final SecretReader secrets;

	public SettingsReader(TableReader root, FindingCollector findings, SecretReader secrets) {
		this.root = root;
		this.findings = findings;
		this.secrets = secrets;
	}

	/**
	 * Reads all tables.
	 * @return the settings, or empty if there are findings
	 */
	public Optional<Settings> read() {
		Settings.Instance instance = instance(this.root.table("instance"));
		Set<InstanceRole> roles = instance.roles();
		Optional<Settings.Listen> listen = new ListenReader(this.root.table("listen")).read(roles);
		Settings.Control control = control(this.root.table("control"), instance, listen);
		Settings.Operators operators = operators(this.root.table("operators"));
		Settings.Targets targets = targets(roles.contains(InstanceRole.ENTRY));
		Optional<Secret> callerToken = callerToken();
		Optional<Secret> sharedKey = sharedKey(this.root.table("internal"));
		TableReader timing = this.root.tableOrDefaults("timing");
		TimingReader timingReader = new TimingReader(timing);
		ControlTiming controlTiming = timingReader.control();
		ConsensusTiming consensusTiming = timingReader.consensus(controlTiming);
		timing.finish();
		Settings.Logging logging = logging(this.root.tableOrDefaults("logging"));
		Settings.Limits limits = limits(this.root.tableOrDefaults("limits"));
		this.root.finish();
		if (!this.findings.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Settings(instance, listen.orElseThrow(), control, operators, targets, callerToken,
				sharedKey.orElseThrow(), controlTiming, consensusTiming, logging, limits));
	}

	private Settings.Instance instance(TableReader table) {
		String name = table.text("name", TextRule.NAME);
		String failureDomain = table.text("failure_domain", TextRule.NAME);
		String region = table.text("region", TextRule.NAME);
		Set<InstanceRole> roles = EnumSet.noneOf(InstanceRole.class);
		List<String> labels = table.distinctTexts("roles", ROLE, 1, InstanceRole.values().length);
		Arrays.stream(InstanceRole.values()).filter((role) -> labels.contains(role.label())).forEach(roles::add);
		table.finish();
		return new Settings.Instance(name, failureDomain, region, roles);
	}

	private Settings.Control control(TableReader table, Settings.Instance instance, Optional<Settings.Listen> listen) {
		List<Settings.Replica> replicas = replicas(table);
		Optional<Path> dataFolder = table.optionalText("data_folder", TextRule.FILE).map(Path::of);
		long snapshotEvery = table
			.optionalNumber("snapshot_every", MIN_SNAPSHOT_INTERVAL_ENTRIES, MAX_SNAPSHOT_INTERVAL_ENTRIES)
			.orElse(DEFAULT_SNAPSHOT_INTERVAL_ENTRIES);
		if (instance.roles().contains(InstanceRole.CONTROL)) {
			checkOwnReplica(table, replicas, instance.name(), listen);
			table.require("data_folder", "the folder of the stored state, for the control role");
		}
		else if (!instance.roles().isEmpty()) {
			rejectControlFields(table);
		}
		table.finish();
		return new Settings.Control(replicas, dataFolder, snapshotEvery);
	}

	private List<Settings.Replica> replicas(TableReader table) {
		List<TableReader> items = table.tables("replicas", 1, MAX_REPLICAS);
		if (items.size() % 2 == 0 && !items.isEmpty()) {
			table.addFinding("replicas", "found " + items.size() + " replicas; allowed: 1, 3, 5 or 7, since an even"
					+ " number tolerates no more failures than the next smaller odd number");
		}
		Map<Object, String> fieldsByValue = new HashMap<>();
		return items.stream().flatMap((item) -> {
			String name = item.text("name", TextRule.NAME);
			Optional<Endpoint> address = ListenReader.endpoint(item, "address", true);
			item.finish();
			checkNotDuplicate(item, "name", name, fieldsByValue);
			address.ifPresent((endpoint) -> checkNotDuplicate(item, "address", endpoint, fieldsByValue));
			return address.map((endpoint) -> new Settings.Replica(name, endpoint)).stream();
		}).toList();
	}

	private static void checkNotDuplicate(TableReader item, String field, Object value,
			Map<Object, String> fieldsByValue) {
		String firstField = fieldsByValue.putIfAbsent(value, item.path(field));
		if (firstField != null && item.valid(field)) {
			item.addFinding(field,
					"found the same value as in " + firstField + "; replicas must have different names and addresses");
		}
	}

	private static void checkOwnReplica(TableReader table, List<Settings.Replica> replicas, String name,
			Optional<Settings.Listen> listen) {
		if (name.isEmpty() || !table.valid("replicas")) {
			return;
		}
		Optional<Settings.Replica> own = replicas.stream().filter((replica) -> replica.name().equals(name)).findFirst();
		if (own.isEmpty()) {
			table.addFinding("replicas",
					"this instance is not listed; an instance with the control role must be listed under its own name");
		}
		else if (listen.isPresent() && !own.get().address().equals(listen.get().internal())) {
			table.addFinding("replicas", "this instance is listed with address " + own.get().address()
					+ "; the address must equal listen.internal, which is " + listen.get().internal());
		}
	}

	private static void rejectControlFields(TableReader table) {
		for (String field : List.of("data_folder", "snapshot_every")) {
			if (table.has(field)) {
				table.addFinding(field,
						"set without the control role; only control replicas store state, so remove this"
								+ " setting or add the role to instance.roles");
			}
		}
	}

	private Settings.Operators operators(TableReader table) {
		Map<String, Secret> tokens = this.secrets.operatorTokens(table);
		table.finish();
		return new Settings.Operators(tokens);
	}

	private Settings.Targets targets(boolean required) {
		TableReader table = required ? this.root.table("targets") : this.root.tableOrDefaults("targets");
		Optional<Secret> token = this.secrets.token(table, required);
		boolean allowForeignAddresses = table.optionalFlag("allow_foreign_addresses").orElse(false);
		table.finish();
		return new Settings.Targets(token, allowForeignAddresses);
	}

	private Optional<Secret> callerToken() {
		return this.root.optionalTable("callers").flatMap((table) -> {
			Optional<Secret> token = this.secrets.token(table, true);
			table.finish();
			return token;
		});
	}

	private Optional<Secret> sharedKey(TableReader table) {
		Optional<Secret> key = this.secrets.sharedKey(table);
		table.finish();
		return key;
	}

	private static Settings.Logging logging(TableReader table) {
		Map<String, Level> levels = List.of(Level.SEVERE, Level.WARNING, Level.INFO, Level.FINE, Level.FINER)
			.stream()
			.collect(Collectors.toMap((level) -> level.getName().toLowerCase(Locale.ROOT), (level) -> level));
		Level level = levels.get(table.optionalText("level", LEVEL).orElse("info"));
		Optional<Path> file = table.optionalText("file", TextRule.FILE).map(Path::of);
		table.finish();
		return new Settings.Logging(level, file);
	}

	private static Settings.Limits limits(TableReader table) {
		int maxRequestBodyBytes = RecordReader
			.intOrDefault(table.optionalNumber("max_request_body_bytes", 1, MAX_BODY_BYTES), MIB);
		int maxAnswerBodyBytes = RecordReader
			.intOrDefault(table.optionalNumber("max_answer_body_bytes", 1, MAX_BODY_BYTES), MAX_BODY_BYTES);
		int maxConcurrentRequests = RecordReader.intOrDefault(
				table.optionalNumber("max_concurrent_requests", 1, MAX_CONCURRENT_REQUESTS),
				DEFAULT_CONCURRENT_REQUESTS);
		table.finish();
		return new Settings.Limits(maxRequestBodyBytes, maxAnswerBodyBytes, maxConcurrentRequests);
	}

}
