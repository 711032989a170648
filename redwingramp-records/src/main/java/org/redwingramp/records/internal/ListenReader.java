package org.redwingramp.records.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.records.Endpoint;
import org.redwingramp.records.InstanceRole;
import org.redwingramp.records.Settings;

/**
 * Reads and validates the table {@code [listen]}. Not thread safe; use one instance per
 * parse.
 */
final class ListenReader {

	private static final TextRule ADDRESS = TextRule.of(".{1,60}", Endpoint.FORMAT);

	private final TableReader table;

	ListenReader(TableReader table) {
		this.table = table;
	}

	/**
	 * Reads a required address.
	 * @param table the table that contains the field
	 * @param field the name of the field
	 * @param rejectWildcard whether to reject wildcard addresses, since other instances
	 * connect to the address
	 * @return the address, or empty if it is missing or invalid
	 */
	static Optional<Endpoint> endpoint(TableReader table, String field, boolean rejectWildcard) {
		String text = table.text(field, ADDRESS);
		if (text.isEmpty()) {
			return Optional.empty();
		}
		Optional<Endpoint> endpoint = Endpoint.parse(text);
		if (endpoint.isEmpty()) {
			table.addFinding(field, "found " + table.quote(text) + "; allowed: " + Endpoint.FORMAT);
		}
		else if (rejectWildcard && endpoint.get().wildcard()) {
			table.addFinding(field, "found the wildcard address " + endpoint.get() + "; other instances connect to this"
					+ " address, so it must be a specific address of the instance");
			return Optional.empty();
		}
		return endpoint;
	}

	Optional<Settings.Listen> read(Set<InstanceRole> roles) {
		Optional<Endpoint> callers = callers(roles);
		Optional<Endpoint> operators = endpoint(this.table, "operators", false);
		Optional<Endpoint> internal = endpoint(this.table, "internal", true);
		this.table.finish();
		Map<Endpoint, String> fieldsByAddress = new HashMap<>();
		callers.ifPresent((address) -> fieldsByAddress.put(address, "callers"));
		operators.ifPresent((address) -> checkNotDuplicate("operators", address, fieldsByAddress));
		internal.ifPresent((address) -> checkNotDuplicate("internal", address, fieldsByAddress));
		return operators.flatMap(
				(address) -> internal.map((internalAddress) -> new Settings.Listen(callers, address, internalAddress)));
	}

	private Optional<Endpoint> callers(Set<InstanceRole> roles) {
		if (roles.contains(InstanceRole.ENTRY)) {
			return endpoint(this.table, "callers", false);
		}
		if (this.table.has("callers") && !roles.isEmpty()) {
			this.table.addFinding("callers",
					"set without the entry role; only entry instances accept callers, so remove"
							+ " this setting or add the role to instance.roles");
		}
		return Optional.empty();
	}

	private void checkNotDuplicate(String field, Endpoint address, Map<Endpoint, String> fieldsByAddress) {
		String firstField = fieldsByAddress.putIfAbsent(address, field);
		if (firstField != null) {
			this.table.addFinding(field, "found " + address + ", which is also listen." + firstField
					+ "; each interface needs a separate port");
		}
	}

}
