package org.redwingramp.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.fleet.FleetCommand.ForgetTarget;
import org.redwingramp.core.fleet.FleetCommand.Move;
import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetCommand.ReplaceConfig;
import org.redwingramp.core.fleet.FleetCommand.SetDomainOut;
import org.redwingramp.core.fleet.FleetResult.Outcome;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.OwnedRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting two configurations that are based on the same version, against
 * refusing an accepted configuration when it is sent again, and against fences that don't
 * rise.
 */
class FleetStateTests {

	private final FleetState state = new FleetState(FleetSnapshot.EMPTY);

	@Test
	void shouldAcceptOnlyOneOfTwoChangesBasedOnTheSameVersion() {
		assertThat(replace(0, 3, "first").outcome()).isEqualTo(Outcome.ACCEPTED);
		assertThat(replace(0, 3, "second").outcome()).isEqualTo(Outcome.WRONG_BASE);
		assertThat(replace(0, 4, "third").outcome()).isEqualTo(Outcome.WRONG_BASE);
		assertThat(this.state.document()).isEqualTo(bytes("first"));
	}

	@Test
	void shouldAcknowledgeTheSameChangeAgain() {
		replace(0, 3, "first");
		assertThat(replace(0, 3, "first").outcome()).isEqualTo(Outcome.ALREADY_ACCEPTED);
		replace(3, 9, "second");
		FleetResult again = replace(0, 3, "first");
		assertThat(again.outcome().accepted()).isTrue();
		assertThat(again.configVersion()).isEqualTo(9);
	}

	@Test
	void shouldRefuseAVersionThatIsNotHigher() {
		replace(0, 3, "first");
		assertThat(replace(3, 3, "other").outcome()).isEqualTo(Outcome.VERSION_NOT_HIGHER);
		assertThat(replace(3, 2, "other").outcome()).isEqualTo(Outcome.VERSION_NOT_HIGHER);
		assertThat(this.state.configVersion()).isEqualTo(3);
	}

	@Test
	void shouldGiveEachAssignmentAHigherFence() {
		FleetTarget first = record("t-1", 1, Stage.SERVING);
		FleetTarget second = record("t-2", 1, Stage.SERVING);
		this.state.apply(new AssignKeys("s", List.of(new Move(KeyRange.ALL, first.owner()))));
		this.state.apply(new AssignKeys("s", List.of(new Move(new KeyRange(0, 9), second.owner()))));
		this.state.apply(new AssignKeys("s", List.of(new Move(new KeyRange(0, 9), first.owner()))));
		assertThat(this.state.keys("s").ranges()).extracting(OwnedRange::fence).containsExactly(3L, 1L);
	}

	@Test
	void shouldRemoveTheKeysOfAFormerIncarnation() {
		FleetTarget first = record("t-1", 1, Stage.SERVING);
		this.state.apply(new AssignKeys("s", List.of(new Move(KeyRange.ALL, first.owner()))));
		record("t-1", 2, Stage.SERVING);
		assertThat(this.state.keys("s").gaps()).containsExactly(KeyRange.ALL);
	}

	@Test
	void shouldNotAssignKeysToAFormerIncarnation() {
		FleetTarget first = record("t-1", 1, Stage.SERVING);
		this.state.apply(new ForgetTarget(first.owner()));
		this.state.apply(new AssignKeys("s", List.of(new Move(KeyRange.ALL, first.owner()))));
		assertThat(this.state.keys("s").ranges()).isEmpty();
	}

	@Test
	void shouldRestoreTheSameStateFromASnapshot() {
		replace(0, 3, "first");
		FleetTarget target = record("t-1", 1, Stage.LEFT);
		this.state.apply(new AssignKeys("s", List.of(new Move(KeyRange.ALL, target.owner()))));
		this.state.apply(new SetDomainOut("d", true));
		FleetState restored = new FleetState(this.state.snapshot());
		assertThat(restored.accepted(3, bytes("first"))).isTrue();
		assertThat(restored.domainsOut()).containsExactly("d");
		assertThat(restored.target("t-1")).contains(target);
		assertThat(restored.keys("s").ranges()).isEqualTo(this.state.keys("s").ranges());
		restored.apply(new AssignKeys("s", List.of(new Move(KeyRange.ALL, target.owner()))));
		assertThat(restored.keys("s").ranges()).extracting(OwnedRange::fence).containsExactly(2L);
	}

	/** Guards against a committed command that ends each replica that applies it. */
	@Test
	void shouldIgnoreKeysOutsideTheKeySpace() {
		FleetTarget target = record("t-1", 1, Stage.SERVING);
		this.state.apply(new AssignKeys("s", List.of(new Move(new KeyRange(9, 12), target.owner()))));
		this.state.apply(new AssignKeys("s",
				List.of(new Move(new KeyRange(10, 5), target.owner()), new Move(KeyRange.ALL, target.owner()),
						new Move(new KeyRange(-1, 5), target.owner()),
						new Move(new KeyRange(0, 65_536), target.owner()))));
		assertThat(this.state.keys("s").ranges()).extracting(OwnedRange::keys).containsExactly(KeyRange.ALL);
	}

	/**
	 * Guards against replicas that forget different targets, since one of them has read a
	 * snapshot.
	 */
	@Test
	void shouldForgetTheSameTargetsAfterASnapshot() {
		int left = 1100;
		IntStream.range(0, left / 2).forEach((i) -> record("t-" + (left - i), i, Stage.LEFT));
		FleetState restored = new FleetState(this.state.snapshot());
		for (FleetState replica : List.of(this.state, restored)) {
			IntStream.range(left / 2, left)
				.forEach((i) -> replica.apply(new RecordTarget(
						new FleetTarget("t-" + (left - i), i, "s", "10.0.0.1:1", "d", 3, Stage.LEFT))));
		}
		assertThat(restored.snapshot().targets()).isEqualTo(this.state.snapshot().targets());
	}

	/**
	 * Guards against a cold target that counts as warm after a restart of all instances:
	 * without requests, it may have become cold while its domain was out of service.
	 */
	@Test
	void shouldForgetThatTargetsAreWarmWhenTheirDomainReturns() {
		FleetTarget target = record("t-1", 1, Stage.SERVING).withWarmth(true, 7);
		FleetTarget other = new FleetTarget("t-2", 1, "s", "10.0.0.1:2", "other", 3, Stage.SERVING).withWarmth(true, 7);
		this.state.apply(new RecordTarget(target));
		this.state.apply(new RecordTarget(other));
		this.state.apply(new SetDomainOut("d", true));
		assertThat(this.state.target("t-1")).contains(target);
		this.state.apply(new SetDomainOut("d", false));
		assertThat(new FleetState(this.state.snapshot()).targets()).containsExactly(target.withWarmth(false, 7), other);
	}

	private FleetResult replace(long base, long version, String document) {
		return this.state.apply(new ReplaceConfig(base, version, bytes(document)));
	}

	private FleetTarget record(String name, long born, Stage stage) {
		FleetTarget target = new FleetTarget(name, born, "s", "10.0.0.1:" + born, "d", 3, stage);
		this.state.apply(new RecordTarget(target));
		return target;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
