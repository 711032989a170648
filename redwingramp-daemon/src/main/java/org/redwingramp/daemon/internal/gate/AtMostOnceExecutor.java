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
 * Executes requests at most once by means of the ledger. Thread safe.
 *
 * <p>
 * Invariant: a request is sent only after the ledger has confirmed that it started this
 * attempt. The ledger starts one attempt per request identity, and another one only if
 * the earlier attempt was aborted because the request certainly did not run.
 */
final class AtMostOnceExecutor {

	private final RequestLedger ledger;

	private final String gate;

	private final LongSupplier clock;

	AtMostOnceExecutor(RequestLedger ledger, String gate, LongSupplier clock) {
		this.ledger = ledger;
		this.gate = gate;
		this.clock = clock;
	}

	/**
	 * Executes a request unless the ledger shows that it may have run before.
	 * @param request the request
	 * @param deadline the monotonic time in nanoseconds by which the response is needed
	 * @param send sends the request to the target; invoked at most once
	 * @return the target's response, the stored response of an earlier attempt, or the
	 * reason why there is none
	 */
	GateReply execute(GateRequest request, long deadline, Supplier<TargetCallResult> send) {
		RequestIdentity identity = new RequestIdentity(request.service(), request.identity(), request.issuedMillis());
		long remaining = deadline - this.clock.getAsLong();
		Command.BeginRequest begin = new Command.BeginRequest(identity, digest(request), request.target(), this.gate,
				request.gateEpoch(), request.shard(), request.fence(),
				Math.max(1, TimeUnit.NANOSECONDS.toMillis(remaining)), UUID.randomUUID().toString());
		try {
			Begun begun = this.ledger.begin(begin, remaining);
			return (begun.status() == Begun.Status.STARTED) ? recordResult(identity, begun.attempt(), send.get())
					: replyFromLedger(begun);
		}
		catch (LedgerUnavailableException ex) {
			return GateReply.refused(Problem.NOT_RECORDED, ex.getMessage());
		}
	}

	private GateReply recordResult(RequestIdentity identity, long attempt, TargetCallResult result) {
		if (result instanceof TargetCallResult.Complete complete) {
			this.ledger.finish(identity, attempt,
					StoredAnswer.of(complete.status(), contentType(complete.headers()), complete.body()));
		}
		else if (result instanceof TargetCallResult.OutcomeUnknown) {
			this.ledger.markUnknown(identity, attempt);
		}
		else {
			this.ledger.abort(identity, attempt);
		}
		return GateService.reply(result);
	}

	private static GateReply replyFromLedger(Begun begun) {
		return switch (begun.status()) {
			case DONE -> begun.answer()
				.map(AtMostOnceExecutor::replay)
				.orElseGet(() -> GateReply.refused(Problem.RAN_ANSWER_NOT_KEPT,
						"the ledger holds no response for the completed attempt"));
			case RUNNING ->
				GateReply.refused(Problem.IN_PROGRESS, "attempt " + begun.attempt() + " may still be running");
			case UNKNOWN -> GateReply.refused(Problem.EARLIER_UNKNOWN,
					"attempt " + begun.attempt() + " may have run; its outcome is unknown");
			case DIGEST_MISMATCH -> GateReply.refused(Problem.IDENTITY_REUSED,
					"the identity was used before with a different method, path or body");
			case EXPIRED ->
				GateReply.refused(Problem.IDENTITY_EXPIRED, "the request is older than the service's ledger retention");
			case NOT_YET_VALID ->
				GateReply.refused(Problem.NOT_YET_VALID, "the request's issue time is too far in the future");
			case STALE_GATE -> GateReply.refused(Problem.WRONG_GATE, "the gate epoch or the fence has changed");
			case STARTED -> throw new IllegalStateException("a started attempt has no recorded result");
		};
	}

	private static GateReply replay(StoredAnswer answer) {
		if (!answer.bodyKept()) {
			return GateReply.refused(Problem.RAN_ANSWER_NOT_KEPT, "the target responded with status " + answer.status()
					+ "; the body of " + answer.length() + " bytes was too large to store");
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
			throw new IllegalStateException("SHA-256 is missing, although every Java platform must support it", ex);
		}
	}

}
