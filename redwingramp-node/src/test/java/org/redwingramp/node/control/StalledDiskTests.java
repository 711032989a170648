package org.redwingramp.node.control;

import java.nio.file.Path;
import java.util.List;

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

	@TempDir
	private Path folder;

	/**
	 * Guards against changes that are acknowledged although they were discarded, because
	 * the next leader committed another command under their log index.
	 */
	@Test
	void shouldNotAcknowledgeDiscardedChanges() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			String formerLeader = control.leader();
			try (OpenCall first = control.openCall(formerLeader);
					OpenCall second = control.openCall(formerLeader);
					OpenCall third = control.openCall(formerLeader)) {
				control.disk(formerLeader).stall();
				// The leadership ends some time after the first call, which waits for
				// the disk and holds up the heartbeats. The next leader's first entry is
				// empty and takes the index of this call.
				first.send("replace 5 6 two");
				second.send("out a");
				third.send("out b");
				assertThat(control.call("replace 5 7 three", formerLeader)).startsWith("ACCEPTED");
				assertThat(control.call("out c", formerLeader)).startsWith("ACCEPTED");
				control.disk(formerLeader).resume();
				for (OpenCall call : List.of(first, second, third)) {
					assertThat(call.answer()).isEqualTo("UNAVAILABLE the change may or may not be committed");
				}
			}
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 5 7 three");
		}
	}

}
