package org.redwingramp.core.ownership;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against keys with two owners or with none after a part of a range has been
 * moved.
 */
class KeyMapTests {

	private static final Owner FIRST = new Owner("t-1", 1);

	private static final Owner SECOND = new Owner("t-2", 1);

	@Test
	void shouldKeepTheRestOfARangeWithItsOwnerWhenAPartIsReassigned() {
		KeyMap map = new KeyMap(List.of(new OwnedRange(KeyRange.ALL, FIRST, 1)));
		map.assign(new OwnedRange(new KeyRange(100, 199), SECOND, 2));
		assertThat(map.find(99)).map(OwnedRange::owner).contains(FIRST);
		assertThat(map.find(100)).map(OwnedRange::owner).contains(SECOND);
		assertThat(map.find(199)).map(OwnedRange::fence).contains(2L);
		assertThat(map.find(200)).map(OwnedRange::fence).contains(1L);
		assertThat(map.ranges()).hasSize(3);
		assertThat(map.gaps()).isEmpty();
	}

	@Test
	void shouldReturnTheRangesWithoutAnOwner() {
		KeyMap map = new KeyMap(List.of(new OwnedRange(KeyRange.ALL, FIRST, 1)));
		map.remove(new KeyRange(0, 9));
		map.remove(new KeyRange(65_000, 65_535));
		assertThat(map.gaps()).containsExactly(new KeyRange(0, 9), new KeyRange(65_000, 65_535));
		assertThat(map.find(5)).isEmpty();
	}

	@Test
	void shouldReassignPartsOfSeveralRangesAtOnce() {
		KeyMap map = new KeyMap(List.of(new OwnedRange(new KeyRange(0, 9), FIRST, 1),
				new OwnedRange(new KeyRange(10, 19), SECOND, 2), new OwnedRange(new KeyRange(20, 29), FIRST, 3)));
		map.assign(new OwnedRange(new KeyRange(5, 24), SECOND, 4));
		assertThat(map.ranges()).extracting(OwnedRange::keys)
			.containsExactly(new KeyRange(0, 4), new KeyRange(5, 24), new KeyRange(25, 29));
	}

}
