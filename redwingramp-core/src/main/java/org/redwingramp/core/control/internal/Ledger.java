package org.redwingramp.core.control.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.LedgerRecord;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.ShardPhase;
import org.redwingramp.core.control.ShardState;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.RecordBody;

/**
 * Records the requests that run at most once. Not thread safe.
 *
 * <p>
 * Invariants: a request has at most one attempt that is started and not aborted. A
 * request whose record has expired is never started again, because every request of the
 * service that was issued no later than the latest expired one counts as expired.
 */
final class Ledger {

	/**
	 * Further requests are refused at this limit, before the heap of a control replica is
	 * full: all replicas would run out of memory at the same command. A record and its
	 * copy in a snapshot take about 1.7 KiB.
	 */
	static final int MAX_RECORDS = 50_000;

	/**
	 * Response bodies that would exceed this total are not stored, only their length.
	 */
	static final long MAX_TOTAL_BODY_BYTES = 16L * 1024 * 1024;

	/** How far the clock of a caller may be ahead of the leader's. */
	static final long MAX_CLOCK_AHEAD_MILLIS = 5 * 60 * 1000L;

	/** Limits the time that one expiry command takes. */
	static final int MAX_EXPIRED_PER_COMMAND = 20_000;

	private static final long DEFAULT_RETENTION_SECONDS = 24 * 3600;

	private static final Comparator<RequestIdentity> BY_AGE = Comparator.comparingLong(RequestIdentity::issuedMillis)
		.thenComparing(RequestIdentity::key);

	private final Map<LedgerKey, LedgerRecord> records = new HashMap<>();

	private final Map<String, TreeSet<RequestIdentity>> byAge = new TreeMap<>();

	/**
	 * By service, the issue time in milliseconds up to which requests count as expired.
	 */
	private final Map<String, Long> expiryFloors = new TreeMap<>();

	private final int maxRecords;

	private long storedBodyBytes;

	Ledger(int maxRecords) {
		this.maxRecords = maxRecords;
	}

	CommandResult begin(Command.BeginRequest command, long index, long clock, ImmutableView view) {
		Optional<RecordBody.Service> service = view.service(command.request().service());
		if (service.isEmpty()) {
			return Refusals.notFound("service " + command.request().service());
		}
		LedgerRecord recorded = this.records.get(LedgerKey.of(command.request()));
		if (recorded != null) {
			return repeated(recorded, command, clock, view);
		}
		Begun.Status status = admission(command, service.get(), clock, view);
		if (status != Begun.Status.STARTED) {
			return new Begun(status, 0, Optional.empty());
		}
		if (this.records.size() >= this.maxRecords) {
			return Refusals.limitReached("recorded requests", this.maxRecords);
		}
		put(internNames(
				new LedgerRecord(command.request(), command.digest(), index, command.gate(), command.gateEpoch(),
						command.target(), clock + command.timeoutMillis(), false, Optional.empty(), command.token())));
		return new Begun(Begun.Status.STARTED, index, Optional.empty());
	}

	private static Begun repeated(LedgerRecord recorded, Command.BeginRequest command, long clock, ImmutableView view) {
		if (!recorded.digest().equals(command.digest())) {
			return new Begun(Begun.Status.DIGEST_MISMATCH, recorded.attempt(), Optional.empty());
		}
		if (recorded.answer().isPresent()) {
			return new Begun(Begun.Status.DONE, recorded.attempt(), recorded.answer());
		}
		boolean running = !recorded.unknown() && clock < recorded.unknownAtMillis() && gateUnchanged(recorded, view);
		if (running && !command.token().isEmpty() && command.token().equals(recorded.token())) {
			return new Begun(Begun.Status.STARTED, recorded.attempt(), Optional.empty());
		}
		return new Begun(running ? Begun.Status.RUNNING : Begun.Status.UNKNOWN, recorded.attempt(), Optional.empty());
	}

	private static boolean gateUnchanged(LedgerRecord recorded, ImmutableView view) {
		return view.target(recorded.target())
			.filter((target) -> target.gate().equals(recorded.gate()) && target.gateEpoch() == recorded.gateEpoch())
			.isPresent();
	}

	private Begun.Status admission(Command.BeginRequest command, RecordBody.Service service, long clock,
			ImmutableView view) {
		long issued = command.request().issuedMillis();
		if (issued < clock - service.retentionSeconds() * 1000
				|| issued <= this.expiryFloors.getOrDefault(service.name(), Long.MIN_VALUE)) {
			return Begun.Status.EXPIRED;
		}
		if (issued > clock + MAX_CLOCK_AHEAD_MILLIS) {
			return Begun.Status.NOT_YET_VALID;
		}
		return gateAndOwnerCurrent(command, service, view) ? Begun.Status.STARTED : Begun.Status.STALE_GATE;
	}

	private static boolean gateAndOwnerCurrent(Command.BeginRequest command, RecordBody.Service service,
			ImmutableView view) {
		Optional<TargetState> target = view.target(command.target())
			.filter((state) -> state.spec().service().equals(service.name()) && state.gate().equals(command.gate())
					&& state.gateEpoch() == command.gateEpoch());
		if (target.isEmpty() || command.gate().isEmpty()) {
			return false;
		}
		if (!service.keySource().keyed()) {
			return true;
		}
		ShardState shard = view.shardState(command.shard());
		return shard != null && shard.id().service().equals(service.name()) && shard.phase() == ShardPhase.OWNED
				&& shard.owner().equals(command.target()) && shard.fence() == command.fence();
	}

	CommandResult finish(Command.FinishRequest command, long version) {
		LedgerRecord recorded = attempt(command.request(), command.attempt());
		if (recorded == null) {
			return staleAttempt(command.attempt());
		}
		if (recorded.answer().isEmpty()) {
			remove(recorded.request());
			put(withOutcome(recorded, recorded.unknown(), Optional.of(withinBodyLimit(command.answer()))));
		}
		return new CommandResult.Applied(version);
	}

	private StoredAnswer withinBodyLimit(StoredAnswer answer) {
		if (this.storedBodyBytes + answer.body().length <= MAX_TOTAL_BODY_BYTES) {
			return answer;
		}
		return new StoredAnswer(answer.status(), answer.contentType(), new byte[0], answer.length(), false);
	}

	CommandResult abort(Command.AbortRequest command, long version) {
		LedgerRecord recorded = attempt(command.request(), command.attempt());
		if (recorded == null || recorded.unknown() || recorded.answer().isPresent()) {
			return staleAttempt(command.attempt());
		}
		remove(recorded.request());
		return new CommandResult.Applied(version);
	}

	CommandResult markUnknown(Command.MarkUnknown command, long version) {
		LedgerRecord recorded = attempt(command.request(), command.attempt());
		if (recorded == null) {
			return staleAttempt(command.attempt());
		}
		if (recorded.answer().isEmpty()) {
			remove(recorded.request());
			put(withOutcome(recorded, true, Optional.empty()));
		}
		return new CommandResult.Applied(version);
	}

	private static CommandResult staleAttempt(long attempt) {
		return Refusals.stale("attempt " + attempt
				+ " is not the current attempt of the request, or its outcome is already recorded");
	}

	private LedgerRecord attempt(RequestIdentity request, long attempt) {
		LedgerRecord recorded = this.records.get(LedgerKey.of(request));
		return (recorded != null && recorded.attempt() == attempt) ? recorded : null;
	}

	private static LedgerRecord withOutcome(LedgerRecord recorded, boolean unknown, Optional<StoredAnswer> answer) {
		return new LedgerRecord(recorded.request(), recorded.digest(), recorded.attempt(), recorded.gate(),
				recorded.gateEpoch(), recorded.target(), recorded.unknownAtMillis(), unknown, answer, "");
	}

	CommandResult expire(long clock, ImmutableView view) {
		int budget = MAX_EXPIRED_PER_COMMAND;
		for (String service : List.copyOf(this.byAge.keySet())) {
			long retention = view.service(service)
				.map(RecordBody.Service::retentionSeconds)
				.orElse(DEFAULT_RETENTION_SECONDS);
			TreeSet<RequestIdentity> requests = this.byAge.get(service);
			while (budget > 0 && !requests.isEmpty() && requests.first().issuedMillis() < clock - retention * 1000) {
				RequestIdentity oldest = requests.first();
				this.expiryFloors.merge(service, oldest.issuedMillis(), Math::max);
				remove(oldest);
				budget--;
			}
		}
		return new CommandResult.Applied(view.version());
	}

	// Interns the names, since many records share them but each command brings new
	// strings.
	private static LedgerRecord internNames(LedgerRecord record) {
		RequestIdentity request = new RequestIdentity(record.request().service().intern(), record.request().key(),
				record.request().issuedMillis());
		return new LedgerRecord(request, record.digest(), record.attempt(), record.gate().intern(), record.gateEpoch(),
				record.target().intern(), record.unknownAtMillis(), record.unknown(), record.answer(), record.token());
	}

	private void put(LedgerRecord record) {
		this.records.put(LedgerKey.of(record.request()), record);
		this.byAge.computeIfAbsent(record.request().service(), (name) -> new TreeSet<>(BY_AGE)).add(record.request());
		this.storedBodyBytes += record.answer().map((answer) -> answer.body().length).orElse(0);
	}

	private void remove(RequestIdentity request) {
		LedgerRecord removed = this.records.remove(LedgerKey.of(request));
		this.byAge.get(request.service()).remove(removed.request());
		this.storedBodyBytes -= removed.answer().map((answer) -> answer.body().length).orElse(0);
		if (this.byAge.get(request.service()).isEmpty()) {
			this.byAge.remove(request.service());
		}
	}

	int size() {
		return this.records.size();
	}

	List<LedgerRecord> records() {
		return this.byAge.values()
			.stream()
			.flatMap(TreeSet::stream)
			.map((request) -> this.records.get(LedgerKey.of(request)))
			.toList();
	}

	Map<String, Long> expiryFloors() {
		return this.expiryFloors;
	}

	void restore(List<LedgerRecord> restored, Map<String, Long> restoredFloors) {
		this.records.clear();
		this.byAge.clear();
		this.storedBodyBytes = 0;
		this.expiryFloors.clear();
		this.expiryFloors.putAll(restoredFloors);
		restored.forEach((record) -> put(internNames(record)));
	}

	/**
	 * Identifies a request within the ledger.
	 *
	 * @param service the service
	 * @param key the idempotency key
	 */
	private record LedgerKey(String service, String key) {

		static LedgerKey of(RequestIdentity request) {
			return new LedgerKey(request.service(), request.key());
		}

	}

}
