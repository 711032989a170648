package org.redwingramp.bench.usecase;

import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.bench.standin.StandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * End-to-end tests against one daemon in this process: records, announcements of targets,
 * lookups, bookings and invalid input.
 */
class SingleDaemonTests {

	private static final int MIB = 1024 * 1024;

	@TempDir
	private static Path folder;

	private static SingleDaemon daemon;

	private static StandIn target;

	@BeforeAll
	static void startDaemon() throws Exception {
		daemon = new SingleDaemon(folder);
		target = daemon.serveWithTarget();
	}

	@AfterAll
	static void stopDaemon() throws Exception {
		target.close();
		daemon.close();
	}

	@Test
	void shouldAnswerALookup() throws Exception {
		HttpResponse<String> response = daemon.get("/taller-svc/history/wok-7?part=jet");
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.headers().firstValue("Redwingramp-Outcome")).contains("answered");
		assertThat(response.body()).contains("taller-01");
	}

	/** Guards against a booking that runs twice because its caller sends it twice. */
	@Test
	void shouldRunABookingOnceAndReplayItsResponse() throws Exception {
		HttpResponse<String> first = daemon.book("/taller-svc/visits/wok-7", "booking-once", "visit");
		HttpResponse<String> second = daemon.book("/taller-svc/visits/wok-7", "booking-once", "visit");
		assertThat(second.body()).isEqualTo(first.body()).contains("\"runs\":1");
		assertThat(second.headers().firstValue("Redwingramp-Replayed")).contains("true");
		assertThat(target.maxRuns()).isEqualTo(1);
	}

	@Test
	void shouldRefuseAnOversizedBodyAsNotRun() throws Exception {
		HttpResponse<String> response = daemon.send(daemon.callerRequest("/taller-svc/visits/wok-7")
			.POST(HttpRequest.BodyPublishers.ofByteArray(new byte[2 * MIB])));
		assertThat(response.statusCode()).isEqualTo(413);
		assertThat(response.headers().firstValue("Redwingramp-Outcome")).contains("not-run");
	}

	/** Guards against running a booking whose body was received only in part. */
	@Test
	void shouldNotRunARequestWithATruncatedBody() throws Exception {
		int before = target.distinctRequests();
		try (Socket socket = new Socket("127.0.0.1", daemon.callerPort())) {
			socket.getOutputStream()
				.write("POST /taller-svc/visits/wok-7 HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"
					.getBytes(StandardCharsets.US_ASCII));
			socket.shutdownOutput();
			socket.setSoTimeout(5_000);
			socket.getInputStream().readAllBytes();
		}
		assertThat(target.distinctRequests()).isEqualTo(before);
	}

	@Test
	void shouldRefuseUnauthenticatedAndInvalidAnnouncements() throws Exception {
		assertThat(daemon.announce("taller-02", "127.0.0.1:9", "b", "wrong-token-0123456789").statusCode())
			.isEqualTo(401);
		assertThat(daemon.announce("taller-02", "192.0.2.7:80", "b", SingleDaemon.TARGET_TOKEN).statusCode())
			.isEqualTo(403);
		assertThat(daemon.announce("..%2Fx", "127.0.0.1:9", "b", SingleDaemon.TARGET_TOKEN).statusCode())
			.isEqualTo(400);
		assertThat(daemon.announce("taller-01", "127.0.0.1:9", "other", SingleDaemon.TARGET_TOKEN).statusCode())
			.isEqualTo(409);
	}

	/** Guards against disclosing details to callers without credentials. */
	@Test
	void shouldDiscloseNothingWithoutCredentials() throws Exception {
		HttpResponse<String> response = daemon.send(daemon.unauthenticatedRequest("/v1/status").GET());
		assertThat(response.statusCode()).isEqualTo(401);
		assertThat(response.body()).doesNotContain("single").doesNotContain("taller");
	}

	@Test
	void shouldReportAllFindingsOfARecord() throws Exception {
		HttpResponse<String> response = daemon.send(daemon.operatorRequest("/v1/records")
			.POST(HttpRequest.BodyPublishers.ofString("schema = 9\nkind = \"service\"\nname = \"\"\nversion = 0\n"))
			.header("Content-Type", "application/toml"));
		assertThat(response.statusCode()).isEqualTo(422);
		assertThat(response.body()).contains("invalid-record").contains("\"line\":1");
	}

	@Test
	void shouldKeepServingAfterInvalidBytesOnTheInternalPort() throws Exception {
		try (Socket socket = new Socket("127.0.0.1", daemon.internalPort())) {
			socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".repeat(100).getBytes(StandardCharsets.US_ASCII));
		}
		assertThat(daemon.get("/taller-svc/history/wok-8").statusCode()).isEqualTo(200);
	}

	@Test
	void shouldExplainTheOwnerAndGateOfAKey() throws Exception {
		HttpResponse<String> response = daemon.readOnceLeaderElected(
				() -> daemon.send(daemon.operatorRequest("/v1/explain?service=taller-svc&key=wok-7").GET()));
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(response.body()).contains("\"owner\":\"taller-01\"").contains("\"gate\":\"single\"");
	}

	@Test
	void shouldRefuseAnUnknownServiceAtOnce() throws Exception {
		long startNanos = System.nanoTime();
		HttpResponse<String> response = daemon.send(daemon.callerRequest("/cobro-svc/x").GET());
		assertThat(response.statusCode()).isEqualTo(404);
		assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(5));
	}

}
