package org.redwingramp.daemon.internal.gate;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;
import org.redwingramp.daemon.internal.http.HeaderField;
import org.redwingramp.daemon.internal.route.Problem;

/**
 * Runs requests at most once with the help of the ledger. Thread safe.
 *
 * <p>
 * Invariant: the send is performed only after the ledger answered that this attempt was
 * started, and the ledger answers that once for an identity unless the attempt was
 * aborted before any byte was written.
 */
final class AtMostOnce {

	private final RequestLedger ledger;

	private final String gate;

	private final LongSupplier clock;

	AtMostOnce(RequestLedger ledger, String gate, LongSupplier clock) {
		this.ledger = ledger;
		this.gate = gate;
		this.clock = clock;
	}

	GateReply run(GateRequest request, long deadline, Supplier<TargetAnswer> send) {
		RequestIdentity identity = new RequestIdentity(request.service(), request.identity(), request.issuedMillis());
		long remaining = deadline - this.clock.getAsLong();
		Command.BeginRequest begin = new Command.BeginRequest(identity, digest(request), request.target(), this.gate,
				request.gateEpoch(), request.shard(), request.fence(),
				Math.max(1, TimeUnit.NANOSECONDS.toMillis(remaining)), UUID.randomUUID().toString());
		try {
			Begun begun = this.ledger.begin(begin, remaining);
			return (begun.status() == Begun.Status.STARTED) ? conclude(identity, begun.attempt(), send.get())
					: recorded(begun);
		}
		catch (LedgerUnavailableException ex) {
			return GateReply.refused(Problem.NOT_RECORDED, ex.getMessage());
		}
	}

	private GateReply conclude(RequestIdentity identity, long attempt, TargetAnswer answer) {
		if (answer instanceof TargetAnswer.Whole whole) {
			this.ledger.finish(identity, attempt,
					StoredAnswer.of(whole.status(), contentType(whole.headers()), whole.body()));
		}
		else if (answer instanceof TargetAnswer.Lost) {
			this.ledger.markUnknown(identity, attempt);
		}
		else {
			this.ledger.abort(identity, attempt);
		}
		return GateService.reply(answer);
	}

	private static GateReply recorded(Begun begun) {
		return switch (begun.status()) {
			case DONE -> begun.answer()
				.map(AtMostOnce::replay)
				.orElseGet(() -> GateReply.refused(Problem.RAN_ANSWER_NOT_KEPT, "the answer was not kept"));
			case RUNNING -> GateReply.refused(Problem.IN_PROGRESS, "attempt " + begun.attempt() + " may be running");
			case UNKNOWN -> GateReply.refused(Problem.EARLIER_UNKNOWN, "attempt " + begun.attempt() + " may have run");
			case DIGEST_MISMATCH -> GateReply.refused(Problem.IDENTITY_REUSED, "method, path or body differ");
			case EXPIRED -> GateReply.refused(Problem.IDENTITY_EXPIRED, "older than the service's retention");
			case NOT_YET_VALID -> GateReply.refused(Problem.NOT_YET_VALID, "issued too far in the future");
			case STALE_GATE -> GateReply.refused(Problem.WRONG_GATE, "the gate or the fence has changed");
			case STARTED -> throw new IllegalStateException("a started attempt is sent, not replayed");
		};
	}

	private static GateReply replay(StoredAnswer answer) {
		if (!answer.bodyKept()) {
			return GateReply.refused(Problem.RAN_ANSWER_NOT_KEPT,
					"it was answered with status " + answer.status() + " and " + answer.length() + " bytes");
		}
		List<HeaderField> headers = answer.contentType().isEmpty() ? List.of()
				: List.of(new HeaderField("Content-Type", answer.contentType()));
		return GateReply.replayed(answer.status(), headers, answer.body());
	}

	private static String contentType(List<HeaderField> headers) {
		return headers.stream()
			.filter((field) -> field.name().equalsIgnoreCase("Content-Type"))
			.map(HeaderField::value)
			.findFirst()
			.orElse("");
	}

	private static String digest(GateRequest request) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update((request.method() + " " + request.path() + "\n").getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(request.body()));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
