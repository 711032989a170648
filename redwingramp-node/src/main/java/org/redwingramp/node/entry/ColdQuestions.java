package org.redwingramp.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.node.api.HealthFields;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.CallFailure;
import org.redwingramp.node.http.ClientListener;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.ResponseMatch;

/**
 * Asks targets that may have started again for how long they are cold. Invariant: one
 * incarnation of a target is asked at most once per interval. Not thread safe; confined
 * to the event loop thread.
 */
final class ColdQuestions {

	private static final long MIN_INTERVAL_NANOS = 250_000_000L;

	private static final long REPLY_TIMEOUT_NANOS = 400_000_000L;

	private static final int OK = 200;

	/** The status by which a target tells that another one was asked. */
	private static final int MISDIRECTED = 421;

	private final PlatformDialect dialect;

	private final Listener listener;

	private final Map<EntryTarget, Long> askedNanos = new HashMap<>();

	ColdQuestions(PlatformDialect dialect, Listener listener) {
		this.dialect = dialect;
		this.listener = listener;
	}

	// Asks the target on a new connection, which only its present process can accept.
	void ask(EntryTarget target, ServiceSpec service, long now) {
		this.askedNanos.values().removeIf((asked) -> now - asked >= MIN_INTERVAL_NANOS);
		if (this.askedNanos.putIfAbsent(target, now) == null) {
			target.connections()
				.sendOnNewConnection(this.dialect.healthRequest(service.healthPath(), target.name()),
						REPLY_TIMEOUT_NANOS, new Question(target, service, now));
		}
	}

	/**
	 * Is notified of the outcome of questions.
	 */
	interface Listener {

		// The target was asked and has responded or not; its cold period is up to date.
		void asked(EntryTarget target, String outcome, long now);

	}

	/** One question to a target. */
	private final class Question implements ClientListener {

		private final EntryTarget target;

		private final ServiceSpec service;

		private final long sentNanos;

		Question(EntryTarget target, ServiceSpec service, long sentNanos) {
			this.target = target;
			this.service = service;
			this.sentNanos = sentNanos;
		}

		// The connection isn't used again, so that no later call gets a second response.
		@Override
		public ResponseMatch match(HttpResponse response) {
			return ResponseMatch.UNIDENTIFIED;
		}

		@Override
		public void answered(HttpResponse response) {
			long now = System.nanoTime();
			HealthFields fields = ColdQuestions.this.dialect.healthFields(response.headers());
			boolean otherTarget = response.status() == MISDIRECTED
					|| fields.target().filter((name) -> !name.equals(this.target.name())).isPresent();
			OptionalLong left = (response.status() == OK && fields.coldLeftMillis().isEmpty()) ? OptionalLong.of(0)
					: fields.coldLeftMillis();
			if (otherTarget) {
				ColdQuestions.this.listener.asked(this.target, "other-target", now);
			}
			else if (left.isPresent()) {
				this.target.coldPeriod().answered(this.sentNanos, left.getAsLong(), now);
				ColdQuestions.this.listener.asked(this.target, "answered", now);
			}
			else {
				this.target.coldPeriod().contacted(this.sentNanos, this.service.coldMillis(), now);
				ColdQuestions.this.listener.asked(this.target, "status-" + response.status(), now);
			}
		}

		@Override
		public void failed(CallFailure failure) {
			ColdQuestions.this.listener.asked(this.target, failure.cause().name(), System.nanoTime());
		}

	}

}
