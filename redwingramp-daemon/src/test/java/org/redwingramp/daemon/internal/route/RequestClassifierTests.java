package org.redwingramp.daemon.internal.route;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.daemon.internal.gate.ControlFixture;
import org.redwingramp.daemon.internal.http.HeaderField;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class RequestClassifierTests {

	private static final long NOW_MILLIS = 1_796_000_000_000L;

	private final ControlFixture control = new ControlFixture("127.0.0.1:9");

	private final RequestClassifier classifier = new RequestClassifier(() -> NOW_MILLIS);

	@Test
	void shouldFindKeyClassAndDeadline() throws Exception {
		RoutedRequest request = classify("GET", "/taller-svc/history/wok-1");
		assertThat(request.key()).isEqualTo("wok-1");
		assertThat(request.requestClass()).isEqualTo(RequestClass.IDEMPOTENT);
		assertThat(request.deadlineNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(1_000));
	}

	/**
	 * Guards against retries of a request with side effects that no route rule matches.
	 */
	@Test
	void shouldClassifyRequestWithoutRuleAsAtMostOnce() throws Exception {
		assertThat(classify("POST", "/taller-svc/visits/wok-1").requestClass()).isEqualTo(RequestClass.AT_MOST_ONCE);
	}

	/** Guards against routing two spellings of one key to different shards. */
	@Test
	void shouldDecodeTheKey() throws Exception {
		assertThat(classify("GET", "/taller-svc/history/w%6Fk-1").key()).isEqualTo("wok-1");
	}

	/** Guards against a path whose prefix matches the rule of another request class. */
	@Test
	void shouldRefuseAmbiguousPaths() {
		List.of("/taller-svc/history/../visits/wok-1", "/taller-svc//history/wok-1", "/taller-svc/./history/wok-1",
				"/taller-svc/history;x/wok-1")
			.forEach((path) -> assertRefused(Problem.BAD_PATH, "GET", path));
	}

	@Test
	void shouldLimitDeadlineToMaximum() throws Exception {
		RoutedRequest request = classify("GET", "/taller-svc/history/wok-1", "Redwingramp-Deadline-Ms",
				"99999999999999");
		assertThat(request.deadlineNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(5_000));
	}

	@Test
	void shouldRefuseDeadlinesThatAreNotPositiveNumbers() {
		List.of("0", "-5", "soon", "1e3", "999999999999999999999")
			.forEach((value) -> assertRefused(Problem.BAD_DEADLINE, "GET", "/taller-svc/history/wok-1",
					"Redwingramp-Deadline-Ms", value));
	}

	@Test
	void shouldRefuseUnknownServicesAndMissingKeys() {
		assertRefused(Problem.UNKNOWN_SERVICE, "GET", "/nothing/history/wok-1");
		assertRefused(Problem.UNKNOWN_SERVICE, "GET", "/");
		assertRefused(Problem.NO_KEY, "GET", "/taller-svc/history");
		assertRefused(Problem.NO_KEY, "GET", "/taller-svc/history/");
	}

	/**
	 * Guards against a second execution: without a time of issue, a repeated request
	 * can't be recognized as too old once the ledger has removed its identity.
	 */
	@Test
	void shouldRefuseAnIdentityWithoutATimeOfIssue() {
		assertRefused(Problem.BAD_IDENTITY, "POST", "/taller-svc/visits/wok-1", "Idempotency-Key", "order-7");
	}

	@Test
	void shouldReadTheTimeOfIssueFromAUuid() throws Exception {
		RoutedRequest request = classify("POST", "/taller-svc/visits/wok-1", "Idempotency-Key",
				"01a23f44-f029-7ab3-ae8f-56cfa979d240");
		assertThat(request.issuedMillis()).isEqualTo(0x01a23f44f029L);
		assertThat(request.identityGiven()).isTrue();
	}

	@Test
	void shouldGenerateIdentityForRequestWithoutOne() throws Exception {
		RoutedRequest request = classify("POST", "/taller-svc/visits/wok-1");
		assertThat(request.identity()).isNotEmpty();
		assertThat(request.issuedMillis()).isEqualTo(NOW_MILLIS);
	}

	private void assertRefused(Problem problem, String method, String path, String... header) {
		assertThatExceptionOfType(RequestRefusedException.class).isThrownBy(() -> classify(method, path, header))
			.satisfies((ex) -> assertThat(ex.problem()).isEqualTo(problem));
	}

	private RoutedRequest classify(String method, String path, String... header) throws RequestRefusedException {
		List<HeaderField> headers = (header.length == 2) ? List.of(new HeaderField(header[0], header[1])) : List.of();
		return this.classifier.classify(new InboundRequest(method, path, "", headers, List.of(), new byte[0], 0),
				this.control.view());
	}

}
