package org.redwingramp.node.control;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong acknowledgements by a leader that lost the leadership while its
 * disk was stalled.
 */
@Timeout(60)
class StalledDiskTests {

	private static final String FIRST = "127.0.0.11";

	private static final String SECOND = "127.0.0.12";

	private static final String THIRD = "127.0.0.13";

	/**
	 * Long enough for the calls to reach the leader, shorter than an election timeout.
	 */
	private static final long CALL_MILLIS = 100;

	@TempDir
	private Path folder;

	/**
	 * Guards against changes that are acknowledged although they were discarded, because
	 * the next leader committed another command under their log index.
	 */
	@Test
	void shouldNotAcknowledgeDiscardedChanges() throws Exception {
		ExecutorService callers = Executors.newCachedThreadPool();
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			String formerLeader = control.leader();
			control.disk(formerLeader).stall();
			// The next leader's first entry is empty and takes the index of the first
			// call.
			List<Future<String>> discarded = List.of(
					callers.submit(() -> control.callOnce(formerLeader, "replace 5 6 two")),
					callers.submit(() -> control.callOnce(formerLeader, "out a")),
					callers.submit(() -> control.callOnce(formerLeader, "out b")));
			Thread.sleep(CALL_MILLIS);
			assertThat(control.call("replace 5 7 three", formerLeader)).startsWith("ACCEPTED");
			assertThat(control.call("out c", formerLeader)).startsWith("ACCEPTED");
			control.disk(formerLeader).resume();
			for (Future<String> answer : discarded) {
				assertThat(answer.get()).isEqualTo("UNAVAILABLE the change may or may not be committed");
			}
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 5 7 three");
		}
		finally {
			callers.shutdownNow();
		}
	}

}
