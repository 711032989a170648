package org.redwingramp.node.control;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry instances that act on old views although they hear their leader.
 */
@Timeout(120)
class EntrySessionsTests {

	private static final String LEADER = "127.0.0.11";

	private static final int TARGETS = 300;

	/** The platform wants an acknowledged change in force within this time. */
	private static final long IN_FORCE_MILLIS = 2000;

	@TempDir
	private Path folder;

	/**
	 * Guards against a change of the configuration that waits on a slow link behind views
	 * which later ones have superseded: requests were routed by versions that had been
	 * replaced seconds before.
	 */
	@Test
	void shouldBringAChangeIntoForceInTimeOverASlowLinkWhileTargetsChange() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, LEADER)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			try (SlowEntry entry = new SlowEntry(control.peerAddress(LEADER))) {
				for (int i = 0; i < TARGETS; i++) {
					assertThat(control.call("beat target-with-a-name-" + i + ' ' + (1 + i))).startsWith("ACCEPTED");
				}
				assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
				long acknowledged = System.nanoTime();
				while (entry.configReadNanos(6) == 0) {
					Thread.sleep(10);
				}
				assertThat(TimeUnit.NANOSECONDS.toMillis(entry.configReadNanos(6) - acknowledged))
					.as("delay of version 6 after its acknowledgement, %d views with %d bytes read", entry.views(),
							entry.bytesRead())
					.isLessThan(IN_FORCE_MILLIS);
			}
		}
	}

}
