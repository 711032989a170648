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
 * The requests that run at most once. Not thread safe.
 *
 * <p>
 * Invariants: a request has at most one attempt that is started and not aborted; a
 * request that was dropped is never started again, since everything issued up to the
 * latest dropped one counts as expired.
 */
final class Ledger {

	/**
	 * Refuses further records before the heap of a control replica is full, since all
	 * replicas would run out of memory at the same command. A record with its copy in a
	 * snapshot takes about 1.7 KiB.
	 */
	static final int MAX_RECORDS = 50_000;

	/** Bodies beyond this total are not kept, only their length. */
	static final long MAX_KEPT_BYTES = 16L * 1024 * 1024;

	/** Callers' clocks may be ahead by this much. */
	static final long MAX_AHEAD_MILLIS = 5 * 60 * 1000L;

	/** Bounds the time of one expiry command. */
	static final int MAX_EXPIRED_AT_ONCE = 20_000;

	private static final long DEFAULT_RETENTION_SECONDS = 24 * 3600;

	private static final Comparator<RequestIdentity> BY_AGE = Comparator.comparingLong(RequestIdentity::issuedMillis)
		.thenComparing(RequestIdentity::key);

	private final Map<LedgerKey, LedgerRecord> records = new HashMap<>();

	private final Map<String, TreeSet<RequestIdentity>> byAge = new TreeMap<>();

	private final Map<String, Long> floors = new TreeMap<>();

	private final int maxRecords;

	private long keptBytes;

	Ledger(int maxRecords) {
		this.maxRecords = maxRecords;
	}

	CommandResult begin(Command.BeginRequest command, long index, long clock, ImmutableView view) {
		Optional<RecordBody.Service> service = view.service(command.request().service());
		if (service.isEmpty()) {
			return Refusals.notFound("service " + command.request().service());
		}
		LedgerRecord known = this.records.get(LedgerKey.of(command.request()));
		if (known != null) {
			return describe(known, command, clock, view);
		}
		Begun.Status status = admission(command, service.get(), clock, view);
		if (status != Begun.Status.STARTED) {
			return new Begun(status, 0, Optional.empty());
		}
		if (this.records.size() >= this.maxRecords) {
			return Refusals.limitReached("recorded requests", this.maxRecords);
		}
		put(compact(new LedgerRecord(command.request(), command.digest(), index, command.gate(), command.gateEpoch(),
				command.target(), clock + command.timeoutMillis(), false, Optional.empty(), command.token())));
		return new Begun(Begun.Status.STARTED, index, Optional.empty());
	}

	private static Begun describe(LedgerRecord known, Command.BeginRequest command, long clock, ImmutableView view) {
		if (!known.digest().equals(command.digest())) {
			return new Begun(Begun.Status.DIGEST_MISMATCH, known.attempt(), Optional.empty());
		}
		if (known.answer().isPresent()) {
			return new Begun(Begun.Status.DONE, known.attempt(), known.answer());
		}
		boolean running = !known.unknown() && clock < known.unknownAtMillis() && gateUnchanged(known, view);
		if (running && !command.token().isEmpty() && command.token().equals(known.token())) {
			return new Begun(Begun.Status.STARTED, known.attempt(), Optional.empty());
		}
		return new Begun(running ? Begun.Status.RUNNING : Begun.Status.UNKNOWN, known.attempt(), Optional.empty());
	}

	private static boolean gateUnchanged(LedgerRecord known, ImmutableView view) {
		return view.target(known.target())
			.filter((target) -> target.gate().equals(known.gate()) && target.gateEpoch() == known.gateEpoch())
			.isPresent();
	}

	private Begun.Status admission(Command.BeginRequest command, RecordBody.Service service, long clock,
			ImmutableView view) {
		long issued = command.request().issuedMillis();
		if (issued < clock - service.retentionSeconds() * 1000
				|| issued <= this.floors.getOrDefault(service.name(), Long.MIN_VALUE)) {
			return Begun.Status.EXPIRED;
		}
		if (issued > clock + MAX_AHEAD_MILLIS) {
			return Begun.Status.NOT_YET_VALID;
		}
		return current(command, service, view) ? Begun.Status.STARTED : Begun.Status.STALE_GATE;
	}

	private static boolean current(Command.BeginRequest command, RecordBody.Service service, ImmutableView view) {
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
		LedgerRecord known = attempt(command.request(), command.attempt());
		if (known == null) {
			return staleAttempt(command.attempt());
		}
		if (known.answer().isEmpty()) {
			remove(known.request());
			put(with(known, known.unknown(), Optional.of(bounded(command.answer()))));
		}
		return new CommandResult.Applied(version);
	}

	private StoredAnswer bounded(StoredAnswer answer) {
		if (this.keptBytes + answer.body().length <= MAX_KEPT_BYTES) {
			return answer;
		}
		return new StoredAnswer(answer.status(), answer.contentType(), new byte[0], answer.length(), false);
	}

	CommandResult abort(Command.AbortRequest command, long version) {
		LedgerRecord known = attempt(command.request(), command.attempt());
		if (known == null || known.unknown() || known.answer().isPresent()) {
			return staleAttempt(command.attempt());
		}
		remove(known.request());
		return new CommandResult.Applied(version);
	}

	CommandResult unknown(Command.MarkUnknown command, long version) {
		LedgerRecord known = attempt(command.request(), command.attempt());
		if (known == null) {
			return staleAttempt(command.attempt());
		}
		if (known.answer().isEmpty()) {
			remove(known.request());
			put(with(known, true, Optional.empty()));
		}
		return new CommandResult.Applied(version);
	}

	private static CommandResult staleAttempt(long attempt) {
		return Refusals.stale("attempt " + attempt + " isn't the one that the ledger holds");
	}

	private LedgerRecord attempt(RequestIdentity request, long attempt) {
		LedgerRecord known = this.records.get(LedgerKey.of(request));
		return (known != null && known.attempt() == attempt) ? known : null;
	}

	private static LedgerRecord with(LedgerRecord known, boolean unknown, Optional<StoredAnswer> answer) {
		return new LedgerRecord(known.request(), known.digest(), known.attempt(), known.gate(), known.gateEpoch(),
				known.target(), known.unknownAtMillis(), unknown, answer, "");
	}

	CommandResult expire(long clock, ImmutableView view) {
		int budget = MAX_EXPIRED_AT_ONCE;
		for (String service : List.copyOf(this.byAge.keySet())) {
			long retention = view.service(service)
				.map(RecordBody.Service::retentionSeconds)
				.orElse(DEFAULT_RETENTION_SECONDS);
			TreeSet<RequestIdentity> requests = this.byAge.get(service);
			while (budget > 0 && !requests.isEmpty() && requests.first().issuedMillis() < clock - retention * 1000) {
				RequestIdentity oldest = requests.first();
				this.floors.merge(service, oldest.issuedMillis(), Math::max);
				remove(oldest);
				budget--;
			}
		}
		return new CommandResult.Applied(view.version());
	}

	// Names repeat in many records but arrive as a new string with each command.
	private static LedgerRecord compact(LedgerRecord record) {
		RequestIdentity request = new RequestIdentity(record.request().service().intern(), record.request().key(),
				record.request().issuedMillis());
		return new LedgerRecord(request, record.digest(), record.attempt(), record.gate().intern(), record.gateEpoch(),
				record.target().intern(), record.unknownAtMillis(), record.unknown(), record.answer(), record.token());
	}

	private void put(LedgerRecord record) {
		this.records.put(LedgerKey.of(record.request()), record);
		this.byAge.computeIfAbsent(record.request().service(), (name) -> new TreeSet<>(BY_AGE)).add(record.request());
		this.keptBytes += record.answer().map((answer) -> answer.body().length).orElse(0);
	}

	private void remove(RequestIdentity request) {
		LedgerRecord removed = this.records.remove(LedgerKey.of(request));
		this.byAge.get(request.service()).remove(removed.request());
		this.keptBytes -= removed.answer().map((answer) -> answer.body().length).orElse(0);
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

	Map<String, Long> floors() {
		return this.floors;
	}

	void restore(List<LedgerRecord> restored, Map<String, Long> restoredFloors) {
		this.records.clear();
		this.byAge.clear();
		this.keptBytes = 0;
		this.floors.clear();
		this.floors.putAll(restoredFloors);
		restored.forEach((record) -> put(compact(record)));
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
