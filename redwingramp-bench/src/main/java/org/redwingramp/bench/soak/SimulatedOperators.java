package org.redwingramp.bench.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

/**
 * Operators that concurrently submit records with the same version, resend when the reply
 * is lost, and withdraw records. Checks that no accepted record is lost, or replaced by
 * other content with the same version. Not thread safe.
 */
final class SimulatedOperators {

	private static final long INTERVAL_MILLIS = 120;

	private static final long RESEND_NANOS = 300 * Simulation.MILLISECOND;

	private static final int MAX_RESENDS = 4;

	private static final String SPARE_DOMAIN = "spare-domain";

	private final ControlWorkload workload;

	private final List<SimulatedProcess> operators;

	private final Map<SimulatedProcess, ControlClient> clients = new HashMap<>();

	private final Map<RecordKey, Accepted> accepted = new HashMap<>();

	private final Map<RecordKey, Long> withdrawn = new HashMap<>();

	private long textCount;

	private long highestRevision;

	private long acceptances;

	private boolean faultsEnded;

	SimulatedOperators(ControlWorkload workload) {
		this.workload = workload;
		this.operators = List.of(new SimulatedProcess("operator-1", simulation()),
				new SimulatedProcess("operator-2", simulation()));
	}

	void start() {
		this.operators.forEach((operator) -> this.clients.put(operator, this.workload.client(operator)));
		simulation().every(INTERVAL_MILLIS, this::submitOrWithdraw);
	}

	long acceptances() {
		return this.acceptances;
	}

	void endFaults() {
		this.faultsEnded = true;
	}

	void checkAcceptedRecordsKept(ControlSnapshot snapshot) {
		Map<RecordKey, RecordState> present = new HashMap<>();
		snapshot.records()
			.forEach((state) -> present.put(new RecordKey(state.record().kind(), state.record().name()), state));
		this.accepted.forEach((key, record) -> {
			RecordState state = present.get(key);
			boolean gone = state == null && this.withdrawn.getOrDefault(key, 0L) < record.version();
			boolean older = state != null && state.record().version() < record.version();
			boolean other = state != null && state.record().version() == record.version()
					&& !state.record().digest().equals(record.digest());
			if (gone || older || other) {
				violation("accepted " + key + " version " + record.version() + " is lost; present is " + state);
			}
		});
	}

	private void submitOrWithdraw() {
		boolean domain = simulation().chance(0.5);
		if (simulation().chance(0.1)) {
			withdraw(new RecordKey(RecordKind.DOMAIN, SPARE_DOMAIN));
			return;
		}
		RecordBody body = domain ? newDomain() : newService();
		String name = (body instanceof RecordBody.Domain named) ? named.name() : ControlWorkload.SERVICE;
		long version = nextVersion(new RecordKey(body.kind(), name));
		SimulatedProcess first = this.operators.get(simulation().random().nextInt(2));
		submit(first, newRecord(name, version, body), MAX_RESENDS);
		if (simulation().chance(0.3)) {
			this.workload.cluster().trace().fault("racing operators");
			this.operators.stream()
				.filter((other) -> other != first)
				.forEach((other) -> submit(other, newRecord(name, version, body), MAX_RESENDS));
		}
	}

	private RecordBody newDomain() {
		String name = simulation().chance(0.3) ? SPARE_DOMAIN
				: ControlWorkload.DOMAINS.get(simulation().random().nextInt(ControlWorkload.DOMAINS.size()));
		boolean out = !this.faultsEnded && simulation().chance(0.15);
		return new RecordBody.Domain(name, "guate", out ? DomainState.OUT : DomainState.IN);
	}

	private RecordBody newService() {
		return new RecordBody.Service(ControlWorkload.SERVICE, KeySource.header("Burner"), ControlWorkload.SLICES, 3,
				110, 2_000, 3_000, 3_600, 100 + simulation().random().nextInt(10), true, List.of());
	}

	// Returns the version after the one that a serving leader has; without a serving
	// leader, after the highest version known from earlier replies; and sometimes a wrong
	// version.
	private long nextVersion(RecordKey key) {
		long known = Math.max(this.accepted.containsKey(key) ? this.accepted.get(key).version() : 0,
				this.withdrawn.getOrDefault(key, 0L));
		long version = this.workload.servedState()
			.flatMap((state) -> state.view().record(key.kind(), key.name()))
			.map((state) -> state.record().version())
			.orElse(known) + 1;
		return simulation().chance(0.1) ? Math.max(1, version - 1 + simulation().random().nextInt(3)) : version;
	}

	private OperatorRecord newRecord(String name, long version, RecordBody body) {
		String text = "text " + (++this.textCount);
		return new OperatorRecord(2, name, version, body, "digest of " + text, text);
	}

	private void submit(SimulatedProcess operator, OperatorRecord record, int resends) {
		long revisionBefore = this.highestRevision;
		this.clients.get(operator).propose(new Command.SubmitRecord(record, operator.name()), (status, result) -> {
			if (result instanceof CommandResult.RecordAccepted acceptance) {
				handleAcceptance(record, acceptance, revisionBefore);
			}
			else if (status != ProposalCallback.Status.APPLIED && resends > 0) {
				this.workload.cluster().trace().fault("operator resends");
				operator.runAfter(RESEND_NANOS, () -> submit(operator, record, resends - 1));
			}
		});
	}

	private void handleAcceptance(OperatorRecord record, CommandResult.RecordAccepted acceptance, long revisionBefore) {
		this.acceptances++;
		RecordKey key = new RecordKey(record.kind(), record.name());
		Accepted previous = this.accepted.get(key);
		if (previous != null && previous.version() == record.version() && !previous.digest().equals(record.digest())
				&& this.withdrawn.getOrDefault(key, 0L) < record.version()) {
			violation("two contents of " + key + " version " + record.version() + " were accepted");
		}
		if (previous == null || previous.version() < record.version()) {
			this.accepted.put(key, new Accepted(record.version(), record.digest()));
		}
		if (!acceptance.repeated() && acceptance.revision() <= revisionBefore && previous != null
				&& previous.version() >= record.version()) {
			violation("revision " + acceptance.revision() + " was given although " + revisionBefore + " was known");
		}
		this.highestRevision = Math.max(this.highestRevision, acceptance.revision());
	}

	private void withdraw(RecordKey key) {
		Accepted record = this.accepted.get(key);
		if (record == null) {
			return;
		}
		// Set before the reply arrives, since a withdrawal whose reply is lost may have
		// been applied.
		this.withdrawn.merge(key, record.version(), Math::max);
		SimulatedProcess operator = this.operators.get(simulation().random().nextInt(2));
		this.clients.get(operator)
			.propose(new Command.WithdrawRecord(key.kind(), key.name(), record.version(), operator.name()),
					(status, result) -> {
					});
	}

	private Simulation simulation() {
		return this.workload.cluster().simulation();
	}

	private void violation(String what) {
		this.workload.cluster().trace().violation(what);
	}

	private record RecordKey(RecordKind kind, String name) {
	}

	private record Accepted(long version, String digest) {
	}

}
