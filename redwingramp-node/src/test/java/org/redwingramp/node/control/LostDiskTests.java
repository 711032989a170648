package org.redwingramp.node.control;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.node.link.LinkMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against what control replicas answer and send after one of them has lost its
 * disk while the others were down.
 */
@Timeout(60)
class LostDiskTests {

	private static final String FIRST = "127.0.0.11";

	private static final String SECOND = "127.0.0.12";

	private static final String THIRD = "127.0.0.13";

	/** Longer than several election timeouts. */
	private static final long WITHOUT_MAJORITY_MILLIS = 3000;

	@TempDir
	private Path folder;

	/**
	 * Guards against entry instances that get an older or an empty configuration from a
	 * replica that doesn't know the whole log, and against reads that return one.
	 */
	@Test
	void shouldShowNothingUntilAMajorityThatHoldsTheLogIsBack() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
			control.stopAll();
			control.wipe(FIRST);
			control.start(FIRST, false);
			control.start(SECOND, false);
			try (TestPeer wiped = entry(control, FIRST); TestPeer intact = entry(control, SECOND)) {
				long end = System.currentTimeMillis() + WITHOUT_MAJORITY_MILLIS;
				while (System.currentTimeMillis() < end) {
					assertThat(control.callOnce(FIRST, "read")).startsWith("UNAVAILABLE");
					assertThat(control.callOnce(SECOND, "read")).startsWith("UNAVAILABLE");
				}
				assertThat(wiped.received(LinkMessage.View.class)).isEmpty();
				assertThat(intact.received(LinkMessage.View.class)).isEmpty();
			}
			control.start(THIRD, false);
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 5 6 two");
			try (TestPeer entry = entry(control, control.leader())) {
				FleetView view = entry.await(LinkMessage.View.class).view();
				assertThat(view.configVersion()).isEqualTo(6);
				assertThat(view.document()).isPresent();
			}
		}
	}

	private static TestPeer entry(ControlFixture control, String replica) throws Exception {
		TestPeer peer = new TestPeer(control.peerAddress(replica));
		peer.send(new LinkMessage.EntryHello("e", 0));
		return peer;
	}

}
