package org.redwingramp.wire;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerLinksTests {

	private WireFixture fixture;

	@BeforeEach
	void open() throws Exception {
		this.fixture = new WireFixture(WireFixture.SERVER);
	}

	@AfterEach
	void close() {
		this.fixture.close();
	}

	// Guards against payloads that are cut or mixed up, up to the largest body.
	@Test
	void shouldReturnTheAnswerOfEachSize() throws Exception {
		for (int size : new int[] { 0, 1, 4095, 65_536, 65_537, 1 << 20, 4 << 20 }) {
			byte[] payload = new byte[size];
			new Random(size).nextBytes(payload);
			Answer answer = this.fixture.links.call(this.fixture.address(), Kind.FORWARD, payload, WireFixture.SECOND);
			assertThat(answer.payload()).isEqualTo(payload);
			assertThat(answer.sender().name()).isEqualTo("gate");
		}
	}

	// Guards against a ping's answer that is refused because a message followed the ping:
	// without pauses, a message follows each ping.
	@Test
	void shouldDeliverOneWayMessagesInOrderAcrossPings() throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1500);
		for (int i = 0; System.nanoTime() < end; i++) {
			this.fixture.links.send(this.fixture.address(), Kind.CONSENSUS, ("m" + i).getBytes());
			assertThat(this.fixture.delivered.poll(1, TimeUnit.SECONDS))
				.as(() -> this.fixture.linkEvents + " " + this.fixture.serverEvents)
				.isEqualTo("entry#7 CONSENSUS m" + i);
		}
	}

	// Guards against a refusal that is reported as an unknown outcome, and the reverse.
	@Test
	void shouldTellARefusalFromAnUnknownOutcome() {
		assertThatExceptionOfType(NotSentException.class).isThrownBy(() -> this.fixture.call("refuse"));
		assertThatExceptionOfType(OutcomeUnknownException.class).isThrownBy(() -> this.fixture.call("fail"));
		assertThatExceptionOfType(NotSentException.class)
			.isThrownBy(() -> this.fixture.links.call("127.0.0.1:1", Kind.FORWARD, new byte[0], WireFixture.SECOND));
	}

	// Guards against a call that outlives its timeout, and against the late answer being
	// taken for that of the next call.
	@Test
	void shouldGiveUpOnAPeerThatGoesSilentMidCall() throws Exception {
		assertThat(this.fixture.call("before")).isEqualTo("before");
		long start = System.nanoTime();
		assertThatExceptionOfType(OutcomeUnknownException.class).isThrownBy(() -> this.fixture.links
			.call(this.fixture.address(), Kind.FORWARD, "freeze".getBytes(), Duration.ofMillis(200)));
		assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(1));
		assertThat(this.fixture.call("after")).isEqualTo("after");
	}

	// Guards against connections of a former run that make calls fail.
	@Test
	void shouldWorkAgainAfterARestartOfThePeer() throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(this.fixture.call("call" + i)).isEqualTo("call" + i);
			this.fixture.restart();
		}
		assertThat(this.fixture.call("last")).isEqualTo("last");
	}

}
