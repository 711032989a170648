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
 * Operators who submit under equal versions at the same time, resend when an answer is
 * lost, and withdraw. Checks that nothing accepted is lost or replaced under its version.
 * Not thread safe.
 */
final class Operators {

	private static final long INTERVAL_MILLIS = 120;

	private static final long RESEND_NANOS = 300 * Simulation.MILLISECOND;

	private static final int MAX_RESENDS = 4;

	private static final String SPARE = "spare-domain";

	private final ControlWorkload workload;

	private final List<SimulatedProcess> operators;

	private final Map<SimulatedProcess, ControlClient> clients = new HashMap<>();

	private final Map<RecordKey, Accepted> accepted = new HashMap<>();

	private final Map<RecordKey, Long> withdrawn = new HashMap<>();

	private long texts;

	private long highestRevision;

	private long acceptances;

	private boolean calm;

	Operators(ControlWorkload workload) {
		this.workload = workload;
		this.operators = List.of(new SimulatedProcess("operator-1", simulation()),
				new SimulatedProcess("operator-2", simulation()));
	}

	void start() {
		this.operators.forEach((operator) -> this.clients.put(operator, this.workload.client(operator)));
		simulation().every(INTERVAL_MILLIS, this::act);
	}

	long acceptances() {
		return this.acceptances;
	}

	void calm() {
		this.calm = true;
	}

	void nothingAcceptedIsLost(ControlSnapshot snapshot) {
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

	private void act() {
		boolean domain = simulation().chance(0.5);
		if (simulation().chance(0.1)) {
			withdraw(new RecordKey(RecordKind.DOMAIN, SPARE));
			return;
		}
		RecordBody body = domain ? domain() : service();
		String name = (body instanceof RecordBody.Domain named) ? named.name() : ControlWorkload.SERVICE;
		long version = nextVersion(new RecordKey(body.kind(), name));
		SimulatedProcess first = this.operators.get(simulation().random().nextInt(2));
		submit(first, record(name, version, body), MAX_RESENDS);
		if (simulation().chance(0.3)) {
			this.workload.world().trace().fault("racing operators");
			this.operators.stream()
				.filter((other) -> other != first)
				.forEach((other) -> submit(other, record(name, version, body), MAX_RESENDS));
		}
	}

	private RecordBody domain() {
		String name = simulation().chance(0.3) ? SPARE
				: ControlWorkload.DOMAINS.get(simulation().random().nextInt(ControlWorkload.DOMAINS.size()));
		boolean out = !this.calm && simulation().chance(0.15);
		return new RecordBody.Domain(name, "guate", out ? DomainState.OUT : DomainState.IN);
	}

	private RecordBody service() {
		return new RecordBody.Service(ControlWorkload.SERVICE, KeySource.header("Burner"), ControlWorkload.SLICES, 3,
				110, 2_000, 3_000, 3_600, 100 + simulation().random().nextInt(10), true, List.of());
	}

	// The version that an operator reads from a serving leader, or what is known of
	// former answers, and sometimes a wrong one.
	private long nextVersion(RecordKey key) {
		long known = Math.max(this.accepted.containsKey(key) ? this.accepted.get(key).version() : 0,
				this.withdrawn.getOrDefault(key, 0L));
		long version = this.workload.servedState()
			.flatMap((state) -> state.view().record(key.kind(), key.name()))
			.map((state) -> state.record().version())
			.orElse(known) + 1;
		return simulation().chance(0.1) ? Math.max(1, version - 1 + simulation().random().nextInt(3)) : version;
	}

	private OperatorRecord record(String name, long version, RecordBody body) {
		String text = "text " + (++this.texts);
		return new OperatorRecord(2, name, version, body, "digest of " + text, text);
	}

	private void submit(SimulatedProcess operator, OperatorRecord record, int resends) {
		long revisionBefore = this.highestRevision;
		this.clients.get(operator).propose(new Command.SubmitRecord(record, operator.name()), (status, result) -> {
			if (result instanceof CommandResult.RecordAccepted acceptance) {
				accept(record, acceptance, revisionBefore);
			}
			else if (status != ProposalCallback.Status.APPLIED && resends > 0) {
				this.workload.world().trace().fault("operator resends");
				operator.runAfter(RESEND_NANOS, () -> submit(operator, record, resends - 1));
			}
		});
	}

	private void accept(OperatorRecord record, CommandResult.RecordAccepted acceptance, long revisionBefore) {
		this.acceptances++;
		RecordKey key = new RecordKey(record.kind(), record.name());
		Accepted former = this.accepted.get(key);
		if (former != null && former.version() == record.version() && !former.digest().equals(record.digest())
				&& this.withdrawn.getOrDefault(key, 0L) < record.version()) {
			violation("two contents of " + key + " version " + record.version() + " were accepted");
		}
		if (former == null || former.version() < record.version()) {
			this.accepted.put(key, new Accepted(record.version(), record.digest()));
		}
		if (!acceptance.repeated() && acceptance.revision() <= revisionBefore && former != null
				&& former.version() >= record.version()) {
			violation("revision " + acceptance.revision() + " was given although " + revisionBefore + " was known");
		}
		this.highestRevision = Math.max(this.highestRevision, acceptance.revision());
	}

	private void withdraw(RecordKey key) {
		Accepted record = this.accepted.get(key);
		if (record == null) {
			return;
		}
		// Set before the answer, since a withdrawal whose answer is lost may be in force.
		this.withdrawn.merge(key, record.version(), Math::max);
		SimulatedProcess operator = this.operators.get(simulation().random().nextInt(2));
		this.clients.get(operator)
			.propose(new Command.WithdrawRecord(key.kind(), key.name(), record.version(), operator.name()),
					(status, result) -> {
					});
	}

	private Simulation simulation() {
		return this.workload.world().simulation();
	}

	private void violation(String what) {
		this.workload.world().trace().violation(what);
	}

	private record RecordKey(RecordKind kind, String name) {
	}

	private record Accepted(long version, String digest) {
	}

}
