package org.redwingramp.core.control;

import java.util.List;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.TargetSpec;

/**
 * Sample records, specifications and commands for tests. Stateless and thread safe.
 */
public final class Fixtures {

	/** The name of a service whose requests carry keys. */
	public static final String KEYED = "taller-svc";

	/** The name of a service without keys. */
	public static final String PLAIN = "cobro-svc";

	private Fixtures() {
	}

	public static RecordBody.Service keyed(String name, int slices) {
		return new RecordBody.Service(name, KeySource.header("Burner"), slices, 3, 110, 2_000, 10_000, 3_600, 100, true,
				List.of());
	}

	public static RecordBody.Service plain(String name) {
		return new RecordBody.Service(name, KeySource.NONE, 0, 3, 110, 2_000, 10_000, 3_600, 100, true, List.of());
	}

	public static Command.SubmitRecord submit(RecordBody body, String name, long version, String digest) {
		return new Command.SubmitRecord(new OperatorRecord(2, name, version, body, digest, "text of " + digest),
				"operator");
	}

	public static Command.SubmitRecord submit(RecordBody.Service service) {
		return submit(service, service.name(), 1, "digest-1");
	}

	public static Command.SubmitRecord domain(String name, long version, DomainState state) {
		return submit(new RecordBody.Domain(name, "guate", state), name, version, state.name());
	}

	public static EntrySpec entry(String name, String domain) {
		return new EntrySpec(name, "127.0.0.1:70", domain, name + "-boot-1");
	}

	public static TargetSpec target(String name, String service, String domain, String bootId) {
		return new TargetSpec(name, service, "127.0.0.1:" + (8000 + Math.floorMod(name.hashCode(), 1000)), domain, 3,
				110, bootId, true);
	}

	public static TargetSpec target(String name) {
		return target(name, KEYED, "zona-capital", name + "-boot-1");
	}

}
