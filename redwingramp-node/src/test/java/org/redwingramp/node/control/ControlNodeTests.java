package org.redwingramp.node.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import org.redwingramp.core.consensus.Replicas;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the loss of acknowledged changes, against reads that return an older
 * configuration than the last acknowledged one, and against two accepted changes that are
 * based on the same version, while replicas are stopped, wiped and replaced.
 */
@Timeout(120)
class ControlNodeTests {

	private static final int MAX_ATTEMPTS = 20;

	private static final String FIRST = "127.0.0.11";

	private static final String SECOND = "127.0.0.12";

	private static final String THIRD = "127.0.0.13";

	private static final String FOURTH = "127.0.0.14";

	private static final String FIFTH = "127.0.0.15";

	/** The number and size of configurations, which exceed the limit of the log twice. */
	private static final int LARGE_CONFIGS = 60;

	private static final int LARGE_CONFIG_CHARS = 400 * 1024;

	/** Time within which replicas that aren't seeds join a new group. */
	private static final long JOIN_MILLIS = 3000;

	@TempDir
	private Path folder;

	@Test
	void shouldFormGroupOfSeedsAndExecuteCallsOnlyOnLeader() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
			// The leader may change between two calls, so the calls are repeated.
			long leaders = 0;
			for (int i = 0; i < MAX_ATTEMPTS && leaders != 1; i++) {
				leaders = Stream.of(FIRST, SECOND, THIRD).filter((name) -> executesCall(control, name)).count();
			}
			assertThat(leaders).isEqualTo(1);
		}
	}

	@Test
	void shouldAcceptOneChangePerVersionAndAcknowledgeItsRepetition() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("replace 0 5 two")).startsWith("WRONG_VERSION");
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("replace 5 5 three")).startsWith("INVALID");
			assertThat(control.call("replace 5 9 broken")).startsWith("INVALID");
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 0 5 one");
		}
	}

	/**
	 * Guards against targets that are told that their heartbeat is invalid, because they
	 * started before the first configuration was sent.
	 */
	@Test
	void shouldRefuseHeartbeatsAsUnavailableBeforeTheFirstConfiguration() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST)) {
			String answer = control.callOnce(FIRST, "heartbeat t-1");
			for (int i = 0; i < MAX_ATTEMPTS && !answer.contains("configuration"); i++) {
				Thread.sleep(100);
				answer = control.callOnce(FIRST, "heartbeat t-1");
			}
			assertThat(answer).isEqualTo("UNAVAILABLE no configuration is available yet");
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			assertThat(control.call("heartbeat t-1")).startsWith("ACCEPTED");
		}
	}

	/** Guards against a replicated state that grows with each name in a path. */
	@Test
	void shouldRefuseToTakeAnUnknownFailureDomainOut() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST)) {
			assertThat(control.call("out d")).startsWith("ACCEPTED");
			assertThat(control.call("out d")).startsWith("ACCEPTED");
			assertThat(control.call("out nowhere")).startsWith("INVALID");
		}
	}

	/**
	 * Guards against replicas whose memory and disk hold hundreds of large
	 * configurations, since they compact only after a number of entries.
	 */
	@Test
	void shouldCompactAfterFewLargeConfigurations() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			String routes = "r".repeat(LARGE_CONFIG_CHARS);
			for (int i = 0; i < LARGE_CONFIGS; i++) {
				assertThat(control.call("replace " + i + ' ' + (i + 1) + ' ' + routes)).startsWith("ACCEPTED");
			}
			assertThat(bytesOnDisk(FIRST)).isLessThan(LARGE_CONFIGS * LARGE_CONFIG_CHARS / 2);
		}
	}

	/**
	 * Guards against a change that is committed and never acknowledged, since something
	 * that follows it fails.
	 */
	@Test
	void shouldAcknowledgeACommittedChangeIfWhatFollowsItFails() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST)) {
			assertThat(control.call("replace 0 1 one")).startsWith("ACCEPTED");
			assertThat(control.callOnce(FIRST, "replace 1 2 fails-once-committed")).startsWith("ACCEPTED");
			assertThat(control.callOnce(FIRST, "replace 2 3 three")).startsWith("ACCEPTED");
		}
	}

	/**
	 * Guards against a configuration that is never committed and never clearly refused,
	 * since it fits into a call but not into a command.
	 */
	@Test
	void shouldRefuseAConfigurationThatExceedsTheSizeOfACommand() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST)) {
			assertThat(control.call("replace 0 1 " + "r".repeat(1_048_576))).startsWith("INVALID");
			int room = Replicas.MAX_COMMAND_BYTES - 1024 - "replace 0 1 ".length();
			assertThat(control.call("replace 0 1 " + "r".repeat(room))).startsWith("ACCEPTED");
		}
	}

	/**
	 * Guards against a log that is never compacted, since the snapshot of a large state
	 * exceeds the size of a command.
	 */
	@Test
	void shouldCompactAStateThatExceedsTheSizeOfACommand() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST)) {
			String routes = "r".repeat(1_000_000);
			assertThat(control.call("replace 0 1 " + routes)).startsWith("ACCEPTED");
			for (int i = 0; i < 6; i++) {
				assertThat(control.call("heartbeat " + i + "t".repeat(800_000) + ' ' + (i + 1))).startsWith("ACCEPTED");
			}
			for (int i = 1; i < 4; i++) {
				assertThat(control.call("replace " + i + ' ' + (i + 1) + ' ' + routes)).startsWith("ACCEPTED");
			}
			control.stop(FIRST);
			control.start(FIRST, false);
			assertThat(control.call("read")).startsWith("DOCUMENT replace 3 4");
			assertThat(control.log.toString()).doesNotContain("skip the compaction");
		}
	}

	private long bytesOnDisk(String replica) throws IOException {
		try (Stream<Path> files = Files.walk(this.folder.resolve(replica))) {
			return files.filter(Files::isRegularFile).mapToLong((file) -> file.toFile().length()).sum();
		}
	}

	@Test
	void shouldKeepAcknowledgedChangesWhenAllReplicasRestart() throws Exception {
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
	void shouldReplaceLostReplicaByEmptyReplicaAtAnotherAddress() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stop(THIRD);
			control.start(FOURTH, false);
			assertThat(control.call("replace 5 6 two")).startsWith("ACCEPTED");
			for (int i = 0; i < 600
					&& !control.log.toString().contains("\"instance\":\"" + FOURTH + "\",\"role\":\"FOLLOWER\""); i++) {
				Thread.sleep(100);
			}
			control.stop(SECOND);
			assertThat(control.call("read")).isEqualTo("DOCUMENT replace 5 6 two");
		}
	}

	/**
	 * Guards against the loss of the leader and of acknowledged changes when two replicas
	 * lose their disks at once. A group of three voters doesn't survive that, so the
	 * group must have grown to five.
	 */
	@Test
	void shouldKeepAcknowledgedChangesWhenTwoReplicasLoseTheirDisks() throws Exception {
		try (ControlFixture control = new ControlFixture(2, this.folder, FIRST, SECOND, THIRD)) {
			control.start(FOURTH, false);
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
	 * Guards against replicas outside the group that refuse calls as unavailable although
	 * they receive messages of the leader.
	 */
	@Test
	void shouldRedirectToLeaderFromReplicaOutsideTheGroup() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.start(FOURTH, false);
			assertThat(control.call("replace 0 5 one")).startsWith("ACCEPTED");
			String answer = "";
			for (int i = 0; i < MAX_ATTEMPTS && !answer.startsWith("LEADER_IS"); i++) {
				Thread.sleep(100);
				answer = control.callOnce(FOURTH, "read");
			}
			assertThat(answer).startsWith("LEADER_IS 127.0.0.1");
		}
	}

	@Test
	void shouldNotExecuteCallsWithoutMajority() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stop(SECOND);
			control.stop(THIRD);
			Thread.sleep(1500);
			assertThat(control.callOnce(FIRST, "read")).startsWith("UNAVAILABLE");
			assertThat(control.callOnce(FIRST, "replace 5 6 two")).startsWith("UNAVAILABLE");
		}
	}

	/** Guards against calls that wait indefinitely for a leader. */
	@Test
	void shouldRefuseCallsPromptlyIfNoLeaderIsElectedAfterRestart() throws Exception {
		try (ControlFixture control = new ControlFixture(this.folder, FIRST, SECOND, THIRD)) {
			control.call("replace 0 5 one");
			control.stopAll();
			control.start(FIRST, false);
			// callOnce has a timeout too, after which it returns UNAVAILABLE without the
			// reason, so the full response is compared.
			long startNanos = System.nanoTime();
			assertThat(control.callOnce(FIRST, "read")).isEqualTo("UNAVAILABLE no leader is known");
			assertThat(System.nanoTime() - startNanos).isLessThan(2_000_000_000L);
		}
	}

	private static boolean executesCall(ControlFixture control, String name) {
		try {
			return control.callOnce(name, "heartbeat t-1").startsWith("ACCEPTED");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
