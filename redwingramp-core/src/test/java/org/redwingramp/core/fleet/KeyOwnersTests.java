package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.ownership.KeyRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry instances whose key owners differ from the leader's after a series
 * of changes, and against changes that contain ranges whose owner stayed the same.
 */
class KeyOwnersTests {

	@Test
	void shouldReturnOnlyTheRangesThatChanged() {
		KeyOwners former = KeyOwners.of(List.of(new ViewRange(0, 999, "a"), new ViewRange(1000, 1999, "b")));
		KeyOwners next = former.with(List.of(new ViewRange(500, 600, "")));
		assertThat(next.changesSince(former)).containsExactly(new ViewRange(500, 600, ""));
		assertThat(next.ranges()).containsExactly(new ViewRange(0, 499, "a"), new ViewRange(601, 999, "a"),
				new ViewRange(1000, 1999, "b"));
		assertThat(next.changesSince(next)).isEmpty();
	}

	/** Guards against a map that grows with each move although ranges are moved back. */
	@Test
	void shouldMergeARangeThatReturnsToTheOwnerOfAdjacentRanges() {
		KeyOwners former = KeyOwners.of(List.of(new ViewRange(0, KeyRange.KEYS - 1, "a")));
		KeyOwners moved = former.with(List.of(new ViewRange(10, 20, "b")));
		assertThat(moved.with(List.of(new ViewRange(10, 20, "a")))).isEqualTo(former);
	}

	@Test
	void shouldTurnAnyMapIntoAnyOtherByItsChanges() {
		for (int seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			KeyOwners former = randomOwners(random);
			KeyOwners next = randomOwners(random);
			KeyOwners changed = former.with(next.changesSince(former));
			assertThat(changed).as("seed %d", seed).isEqualTo(next);
			IntStream.range(0, 50)
				.map((i) -> random.nextInt(KeyRange.KEYS))
				.forEach((key) -> assertThat(changed.owner(key)).isEqualTo(next.owner(key)));
		}
	}

	private static KeyOwners randomOwners(Random random) {
		KeyOwners owners = KeyOwners.NONE;
		for (int i = random.nextInt(40); i > 0; i--) {
			int first = random.nextInt(KeyRange.KEYS);
			int last = first + random.nextInt(KeyRange.KEYS - first);
			owners = owners.with(List.of(new ViewRange(first, last, (random.nextInt(4) == 0) ? "" : "t-" + i % 5)));
		}
		return owners;
	}

}
