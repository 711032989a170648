package org.redwingramp.node.control;

import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledged changes that are lost or shown older, and against two
 * accepted changes on one version, while replicas are stopped, wiped and replaced.
 */
@Timeout(120)
class ControlNodeTests {

	private static final int ROUNDS = 20;

	private static final String FIRST = "127.0.0.11";

	private static final String SECOND = "127.0.0.12";

	private static final String THIRD = "127.0.0.13";

	private static final String ADDED = "127.0.0.14";

	private static final String FIFTH = "127.0.0.15";

	/** In this time replicas that aren't seeds join a new group. */
	private static final long JOIN_MILLIS = 3000;

	@TempDir
	private Path folder;

	@Test
	void shouldFormFromTheSeedsAndAnswerOnlyThroughTheLeader() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
			// The leader may change between two questions, so a round is repeated.
			long leaders = 0;
			for (int i = 0; i < ROUNDS && leaders != 1; i++) {
				leaders = Stream.of(FIRST, SECOND, THIRD).filter((name) -> answersItself(control, name)).count();
			}
			assertThat(leaders).isEqualTo(1);
		}
	}

	@Test
	void shouldAcceptOneChangeOnAVersionAndAcknowledgeItAgain() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("replace 0 5 two")).startsWith("WRONG_VERSION");
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("replace 5 5 three")).startsWith("INVALID");
			assertThat(control.call("replace 5 9 broken")).startsWith("INVALID");
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
		}
	}

	@Test
	void shouldKeepWhatWasAcknowledgedWhenAllReplicasAreStopped() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.call("out d");
			control.stopAll();
			for (String name : new String[] { FIRST, SECOND, THIRD }) {
				control.start(name, false);
			}
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
			assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
		}
	}

	@Test
	void shouldLetAnEmptyInstanceAtAnotherAddressTakeThePlaceOfALostOne() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stop(THIRD);
			control.start(ADDED, false);
			assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
			for (int i = 0; i < 600
					&& !control.log.toString().contains("\"instance\":\"" + ADDED + "\",\"role\":\"FOLLOWER\""); i++) {
				Thread.sleep(100);
			}
			control.stop(SECOND);
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 5 6 two");
		}
	}

	/**
	 * Guards against a fleet without a leader, and without what it acknowledged, after
	 * two replicas lost their disks at once: a group of three voters can't bear that.
	 */
	@Test
	void shouldKeepWhatWasAcknowledgedWhenTwoReplicasLoseTheirDisks() throws Exception {
		try (ControlFixture control = new ControlFixture(2, this.folder, FIRST, SECOND, THIRD)) {
			control.start(ADDED, false);
			control.start(FIFTH, false);
			control.call("replace 0 5 one");
			Thread.sleep(JOIN_MILLIS);
			control.stop(SECOND);
			control.stop(THIRD);
			control.wipe(SECOND);
			control.wipe(THIRD);
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
			control.start(SECOND, false);
			control.start(THIRD, false);
			assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
		}
	}

	/**
	 * Guards against callers that are sent away by replicas which aren't members of the
	 * group, though these hear the leader.
	 */
	@Test
	void shouldNameTheLeaderOutsideTheGroup() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.start(ADDED, false);
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			String answer = "";
			for (int i = 0; i < ROUNDS && !answer.startsWith("LEADER_IS"); i++) {
				Thread.sleep(100);
				answer = control.callOnce(ADDED, "read");
			}
			assertThat(answer).startsWith("LEADER_IS 127.0.0.1");
		}
	}

	@Test
	void shouldNotAnswerWithoutAMajority() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stop(SECOND);
			control.stop(THIRD);
			Thread.sleep(1500);
			assertThat(control.callOnce(FIRST, "read")).startsWith("UNAVAILABLE");
			assertThat(control.callOnce(FIRST, "replace 5 6 two")).startsWith("UNAVAILABLE");
		}
	}

	/** Guards against calls that wait for a leader for ever instead of being refused. */
	@Test
	void shouldRefuseCallsSoonIfNoLeaderIsElectedAfterARestart() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stopAll();
			control.start(FIRST, false);
			// The call has a time-out of its own, after which it counts as refused too.
			long began = System.nanoTime();
			assertThat(control.callOnce(FIRST, "read")).isEqualTo("UNAVAILABLE no leader is known");
			assertThat(System.nanoTime() - began).isLessThan(2_000_000_000L);
		}
	}

	private static boolean answersItself(ControlFixture control, String name) {
		try {
			return control.callOnce(name, "beat t-1").startsWith("ACCEPTED");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
