package org.redwingramp.node.entry;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.redwingramp.node.RepeatingTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a refusal that a faulty target writes once more on a kept connection and
 * that counts for a later request: the caller is told that its request was not run while
 * the target runs it, and the request may run again elsewhere.
 */
@Timeout(30)
class RepeatedRefusalTests {

	private EntryFixture entry;

	@BeforeEach
	void start() throws Exception {
		this.entry = new EntryFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.entry.close();
	}

	/** Guards against the copy of a refusal that the same request got before. */
	@Test
	void shouldNotTakeACopyForTheResponseToTheSameRequestSentAgain() throws Exception {
		try (RepeatingTarget target = new RepeatingTarget(refusal(421, "Id: 1\r\n"), answer("1"))) {
			this.entry.sendView("t-0", target.address());
			assertThat(this.entry.call("/book-long/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(target.calls).hasSize(2);
		}
	}

	/** Guards against the copy of a refusal that another request got. */
	@Test
	void shouldNotTakeACopyForTheResponseToAnotherRequest() throws Exception {
		try (RepeatingTarget target = new RepeatingTarget(refusal(503, "Id: 1\r\n"), answer("2"))) {
			this.entry.sendView("t-0", target.address());
			assertThat(this.entry.call("/book-long/a", "1")).startsWith("HTTP/1.1 503");
			assertThat(this.entry.call("/book-long/a", "2")).startsWith("HTTP/1.1 200");
		}
	}

	/** Guards against copies that don't say which request they belong to. */
	@Test
	void shouldNotTakeACopyWithoutAnIdentifierForTheResponseToAnotherRequest() throws Exception {
		try (RepeatingTarget target = new RepeatingTarget(refusal(503, ""), answer("2"))) {
			this.entry.sendView("t-0", target.address());
			assertThat(this.entry.call("/book-long/a", "1")).startsWith("HTTP/1.1 503");
			assertThat(this.entry.call("/book-long/a", "2")).startsWith("HTTP/1.1 200");
		}
	}

	/**
	 * Guards against a response without an identifier, on a connection with earlier
	 * responses, that ends a request which the target still runs.
	 */
	@Test
	void shouldNotTakeAResponseWithoutAnIdentifierOnAKeptConnection() throws Exception {
		try (RepeatingTarget target = new RepeatingTarget(answer("1"), refusal(503, "") + answer("2"))) {
			this.entry.sendView("t-0", target.address());
			assertThat(this.entry.call("/book-long/a", "1")).startsWith("HTTP/1.1 200");
			assertThat(this.entry.call("/book-long/a", "2")).startsWith("HTTP/1.1 200");
		}
	}

	private static String refusal(int status, String id) {
		return "HTTP/1.1 " + status + " Refused\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
	}

	private static String answer(String id) {
		return ScriptedTarget.response(id, "ran");
	}

}
