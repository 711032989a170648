package org.redwingramp.core.ownership;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.ownership.KeyPlanner.Bin;
import org.redwingramp.core.ownership.KeyPlanner.RangeAssignment;
import org.redwingramp.core.ownership.KeyPlanner.RangeMove;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against plans that leave a few targets overloaded when adjacent keys become hot,
 * a target is slow or a target joins without keys.
 */
class KeyPlannerTests {

	private static final int SLOTS = 3;

	private final KeyPlanner planner = new KeyPlanner();

	private final KeyLoad load = new KeyLoad(0);

	private List<OwnedRange> ranges = List.of();

	@Test
	void shouldAssignKeysWithoutKnownLoadEvenlyToTargets() {
		List<RangeAssignment> assignments = this.planner.assign(List.of(KeyRange.ALL), emptyBins(7), this.load);
		assertThat(assignments.stream().mapToInt((assignment) -> assignment.keys().size()).sum())
			.isEqualTo(KeyRange.KEYS);
		assertThat(assignments.stream().map(RangeAssignment::owner).distinct()).hasSize(7);
		assertThat(assignments).allMatch((assignment) -> assignment.keys().size() < KeyRange.KEYS / 5);
	}

	@Test
	void shouldMoveOnlyHotKeysWhenAdjacentKeysBecomeHot() {
		IntStream.range(4000, 4060).forEach((key) -> this.load.add(key, 80));
		List<RangeMove> moves = balance(5);
		assertThat(moves).isNotEmpty();
		assertThat(moves).allMatch((move) -> move.keys().first() >= 4000 && move.keys().last() < 4060);
		assertThat(moves.stream().map(RangeMove::receiver).distinct().count()).isEqualTo(moves.size());
	}

	/**
	 * Guards against planning only one move per round, which left a target overloaded for
	 * seconds.
	 */
	@Test
	void shouldMoveAHotRangeToSeveralTargetsInOneRound() {
		IntStream.range(4000, 4060).forEach((key) -> this.load.add(key, 300));
		List<RangeMove> moves = balance(8);
		assertThat(moves).hasSizeGreaterThanOrEqualTo(3).allMatch((move) -> move.owner().equals(owner(0)));
		assertThat(moves.stream().map(RangeMove::receiver).distinct().count()).isGreaterThanOrEqualTo(3);
	}

	@Test
	void shouldPlanNoMovesAtLowUtilization() {
		IntStream.range(0, KeyRange.KEYS).filter((key) -> key % 64 == 0).forEach((key) -> this.load.add(key, 4));
		assertThat(balance(5)).isEmpty();
	}

	@Test
	void shouldMoveKeysOffASlowTarget() {
		IntStream.range(0, KeyRange.KEYS).filter((key) -> key % 64 == 0).forEach((key) -> this.load.add(key, 8));
		List<Bin> bins = bins(5, 4);
		List<RangeMove> moves = this.planner.balance(bins, this.ranges, this.load);
		assertThat(moves).isNotEmpty();
		assertThat(moves.get(0).owner()).isEqualTo(owner(0));
	}

	@Test
	void shouldMoveKeysToAJoiningTarget() {
		List<Bin> bins = Stream.concat(bins(5, 1).stream(), Stream.of(bin(9, 1, Stream.empty()))).toList();
		List<RangeMove> moves = this.planner.balance(bins, this.ranges, this.load);
		assertThat(moves).hasSize(1);
		assertThat(moves.get(0).receiver()).isEqualTo(owner(9));
		assertThat(moves.get(0).keys().size()).isGreaterThan(KeyRange.KEYS / 20);
	}

	@Test
	void shouldAssignNoKeysWithoutTargets() {
		assertThat(this.planner.assign(List.of(KeyRange.ALL), List.of(), this.load)).isEmpty();
	}

	private List<RangeMove> balance(int targets) {
		return this.planner.balance(bins(targets, 1), this.ranges, this.load);
	}

	// Creates targets with ranges of equal size; requests take longer on the first one.
	private List<Bin> bins(int targets, double slownessOfFirst) {
		int size = KeyRange.KEYS / targets;
		this.ranges = IntStream.range(0, targets)
			.mapToObj((i) -> new OwnedRange(
					new KeyRange(i * size, (i == targets - 1) ? KeyRange.KEYS - 1 : (i + 1) * size - 1), owner(i),
					i + 1L))
			.toList();
		return IntStream.range(0, targets)
			.mapToObj((i) -> bin(i, (i == 0) ? slownessOfFirst : 1, Stream.of(this.ranges.get(i).keys())))
			.toList();
	}

	private List<Bin> emptyBins(int targets) {
		return IntStream.range(0, targets).mapToObj((i) -> bin(i, 1, Stream.empty())).toList();
	}

	private Bin bin(int number, double slowness, Stream<KeyRange> ranges) {
		return new Bin(owner(number), SLOTS / slowness, ranges, this.load);
	}

	private static Owner owner(int number) {
		return new Owner("t-" + number, 1);
	}

}
