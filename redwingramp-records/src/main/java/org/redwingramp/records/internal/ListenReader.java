package org.redwingramp.records.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.records.Endpoint;
import org.redwingramp.records.InstanceRole;
import org.redwingramp.records.Settings;

/**
 * Reads {@code [listen]}. Not thread safe; used by one parse.
 */
final class ListenReader {

	private static final TextRule TEXT = TextRule.of(".{1,60}", Endpoint.FORM);

	private final TableReader table;

	ListenReader(TableReader table) {
		this.table = table;
	}

	/**
	 * Reads an address.
	 * @param table the table
	 * @param field the field's name
	 * @param reachable whether others connect to the address, so that it can't be a
	 * wildcard
	 * @return the address, or empty after a finding
	 */
	static Optional<Endpoint> endpoint(TableReader table, String field, boolean reachable) {
		String text = table.text(field, TEXT);
		if (text.isEmpty()) {
			return Optional.empty();
		}
		Optional<Endpoint> endpoint = Endpoint.parse(text);
		if (endpoint.isEmpty()) {
			table.refuse(field, "found " + table.quote(text) + "; allowed: " + Endpoint.FORM);
		}
		else if (reachable && endpoint.get().wildcard()) {
			table.refuse(field, "found " + endpoint.get() + "; other instances connect to this address, so it must"
					+ " be one address of the instance");
			return Optional.empty();
		}
		return endpoint;
	}

	Optional<Settings.Listen> read(Set<InstanceRole> roles) {
		Optional<Endpoint> callers = callers(roles);
		Optional<Endpoint> operators = endpoint(this.table, "operators", false);
		Optional<Endpoint> internal = endpoint(this.table, "internal", true);
		this.table.finish();
		Map<Endpoint, String> seen = new HashMap<>();
		callers.ifPresent((address) -> seen.put(address, "callers"));
		operators.ifPresent((address) -> refuseSecond("operators", address, seen));
		internal.ifPresent((address) -> refuseSecond("internal", address, seen));
		return operators.flatMap((address) -> internal.map((inside) -> new Settings.Listen(callers, address, inside)));
	}

	private Optional<Endpoint> callers(Set<InstanceRole> roles) {
		if (roles.contains(InstanceRole.ENTRY)) {
			return endpoint(this.table, "callers", false);
		}
		if (this.table.has("callers") && !roles.isEmpty()) {
			this.table.refuse("callers", "found without the entry role, which alone accepts callers; remove it or add"
					+ " the role to instance.roles");
		}
		return Optional.empty();
	}

	private void refuseSecond(String field, Endpoint address, Map<Endpoint, String> seen) {
		String first = seen.putIfAbsent(address, field);
		if (first != null) {
			this.table.refuse(field,
					"found " + address + ", which is also listen." + first + "; each interface needs its own port");
		}
	}

}
