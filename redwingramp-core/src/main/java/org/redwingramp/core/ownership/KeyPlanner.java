package org.redwingramp.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Plans the assignment of keys without an owner and the moves that balance load over the
 * targets of a service. Holds no state, but is not thread safe, since planning updates
 * the bins that it is given.
 */
public final class KeyPlanner {

	/**
	 * Slot utilization, as a fraction of 1, below which no keys are moved off a target to
	 * balance load: moving keys would cost more than the queueing that it avoids.
	 */
	private static final double LOW_UTILIZATION = 0.55;

	/**
	 * Minimum difference in utilization between a target and the least utilized one at
	 * which keys are moved between them.
	 */
	private static final double MIN_UTILIZATION_GAP = 0.3;

	/**
	 * Fraction of the utilization gap between two targets that a move aims to close. Not
	 * more than a half, so that the receiver does not become the next source.
	 */
	private static final double GAP_FRACTION = 0.5;

	/** Minimum fraction of the desired load that makes a move worthwhile. */
	private static final double MIN_LOAD_FRACTION = 0.35;

	/**
	 * Fraction of the mean weight per capacity below which a target counts as having no
	 * keys.
	 */
	private static final double EMPTY_WEIGHT_FRACTION = 0.35;

	/**
	 * Mean number of ranges per target above which small ranges are merged with adjacent
	 * ones. The lease of each range is renewed by a separate call.
	 */
	private static final int MERGE_RANGES_PER_TARGET = 2;

	/**
	 * Maximum utilization that a range may add to its new owner to be merged with an
	 * adjacent range.
	 */
	private static final double MAX_MERGE_UTILIZATION = 0.05;

	/**
	 * Minimum weight of a key, in slot milliseconds per second, so that keys without
	 * known load are also distributed evenly.
	 */
	private static final double MIN_KEY_WEIGHT = 0.05;

	/** Maximum number of moves in one plan. */
	private static final int MAX_MOVES = 8;

	/**
	 * Assigns ranges without an owner to targets, each to the target with the lowest
	 * weight per capacity. Large ranges are split and assigned to several targets.
	 * @param free the ranges without an owner
	 * @param bins the targets that may own keys
	 * @param load the load of the keys
	 * @return the planned assignments
	 */
	public List<RangeAssignment> assign(List<KeyRange> free, List<Bin> bins, KeyLoad load) {
		if (bins.isEmpty()) {
			return List.of();
		}
		double capacity = bins.stream().mapToDouble(Bin::capacity).sum();
		double assigned = bins.stream().mapToDouble(Bin::weight).sum();
		double total = assigned + free.stream().mapToDouble((range) -> weight(range, load)).sum();
		List<RangeAssignment> assignments = new ArrayList<>();
		free.forEach((range) -> {
			int first = range.first();
			while (first <= range.last()) {
				Bin bin = bins.stream().min(Comparator.comparingDouble(Bin::weightPerCapacity)).orElseThrow();
				double desired = Math.max(total * bin.capacity() / capacity - bin.weight(), total / capacity / 4);
				int last = endOfPiece(first, range.last(), desired, load);
				KeyRange piece = new KeyRange(first, last);
				bin.addWeight(weight(piece, load));
				assignments.add(new RangeAssignment(piece, bin.owner()));
				first = last + 1;
			}
		});
		return assignments;
	}

	/**
	 * Plans moves from overloaded targets to the least utilized ones, and to targets that
	 * have almost no keys.
	 * @param bins the targets that may own keys
	 * @param ranges the ranges that may be moved, in full or in part
	 * @param load the load of the keys
	 * @return the moves, those off the most utilized targets first
	 */
	public List<RangeMove> balance(List<Bin> bins, List<OwnedRange> ranges, KeyLoad load) {
		List<OwnedRange> pieces = new ArrayList<>(ranges);
		List<RangeMove> moves = new ArrayList<>();
		List<Owner> exhausted = new ArrayList<>();
		while (moves.size() < MAX_MOVES) {
			Optional<Bin> source = bins.stream()
				.filter((bin) -> !exhausted.contains(bin.owner()))
				.max(Comparator.comparingDouble(Bin::utilization));
			Optional<Bin> receiver = bins.stream().min(Comparator.comparingDouble(Bin::utilization));
			if (source.isEmpty() || source.get().utilization() < LOW_UTILIZATION
					|| source.get().utilization() - receiver.orElseThrow().utilization() < MIN_UTILIZATION_GAP) {
				break;
			}
			Optional<RangeMove> move = planMove(source.get(), receiver.get(), pieces, load);
			move.ifPresentOrElse(moves::add, () -> exhausted.add(source.get().owner()));
		}
		fillEmptyTargets(bins, pieces, load, moves);
		return moves;
	}

	/**
	 * Plans moves of ranges with little load to the owner of an adjacent range, so that
	 * ranges that were fragmented by moves of hot keys can be merged.
	 * @param bins the targets that may own keys
	 * @param all all ranges in key order
	 * @param movable the ranges that may be moved
	 * @param moving the targets that take part in other moves of this round
	 * @param load the load of the keys
	 * @return the moves, the smallest ranges first
	 */
	public List<RangeMove> mergeAdjacent(List<Bin> bins, List<OwnedRange> all, Set<OwnedRange> movable,
			Set<Owner> moving, KeyLoad load) {
		if (all.size() <= MERGE_RANGES_PER_TARGET * bins.size()) {
			return List.of();
		}
		Map<Owner, Bin> byOwner = bins.stream().collect(Collectors.toMap(Bin::owner, (bin) -> bin));
		Map<Owner, Long> count = all.stream().collect(Collectors.groupingBy(OwnedRange::owner, Collectors.counting()));
		List<RangeMove> moves = new ArrayList<>();
		Set<Owner> involved = new HashSet<>(moving);
		IntStream.range(0, all.size())
			.boxed()
			.filter((i) -> movable.contains(all.get(i)) && count.get(all.get(i).owner()) > 1)
			.sorted(Comparator.comparingInt((i) -> all.get(i).keys().size()))
			.forEach((i) -> {
				OwnedRange range = all.get(i);
				double moved = load.of(range.keys());
				double ownerUtilization = Optional.ofNullable(byOwner.get(range.owner()))
					.map(Bin::utilization)
					.orElse(LOW_UTILIZATION);
				if (moves.size() >= MAX_MOVES || involved.contains(range.owner())) {
					return;
				}
				adjacentRanges(all, i).map((adjacent) -> byOwner.get(adjacent.owner()))
					.filter((bin) -> bin != null && !involved.contains(bin.owner())
							&& hasRoom(bin, moved, ownerUtilization))
					.min(Comparator.comparingDouble(Bin::utilization))
					.ifPresent((bin) -> {
						moves.add(new RangeMove(range.keys(), range.owner(), bin.owner()));
						bin.addLoad(moved);
						involved.add(range.owner());
						involved.add(bin.owner());
					});
			});
		return moves;
	}

	// Returns whether the moved load is small for a target and leaves it at low
	// utilization, or at most at the utilization of the current owner.
	private static boolean hasRoom(Bin bin, double moved, double ownerUtilization) {
		double added = moved * bin.utilizationPerLoad();
		return added <= MAX_MERGE_UTILIZATION
				&& bin.utilization() + added <= Math.max(LOW_UTILIZATION, ownerUtilization);
	}

	// Returns the directly adjacent ranges that have another owner.
	private static Stream<OwnedRange> adjacentRanges(List<OwnedRange> all, int index) {
		OwnedRange range = all.get(index);
		return IntStream.of(index - 1, index + 1)
			.filter((i) -> i >= 0 && i < all.size())
			.mapToObj(all::get)
			.filter((other) -> !other.owner().equals(range.owner()))
			.filter((other) -> other.keys().last() + 1 == range.keys().first()
					|| range.keys().last() + 1 == other.keys().first());
	}

	// Moves keys to targets that have almost none, for example because they just joined.
	private static void fillEmptyTargets(List<Bin> bins, List<OwnedRange> pieces, KeyLoad load, List<RangeMove> moves) {
		double mean = bins.stream().mapToDouble(Bin::weightPerCapacity).average().orElse(0);
		List<Bin> empty = bins.stream()
			.filter((bin) -> bin.weightPerCapacity() < EMPTY_WEIGHT_FRACTION * mean)
			.toList();
		for (Bin receiver : empty) {
			Bin source = bins.stream().max(Comparator.comparingDouble(Bin::weightPerCapacity)).orElseThrow();
			double desired = Math.min(mean * receiver.capacity(), source.weight() / 2);
			Optional<OwnedRange> widest = pieces.stream()
				.filter((piece) -> piece.owner().equals(source.owner()))
				.max(Comparator.comparingInt((piece) -> piece.keys().size()));
			if (widest.isEmpty() || moves.size() >= MAX_MOVES) {
				return;
			}
			KeyRange all = widest.get().keys();
			KeyRange part = new KeyRange(all.first(), endOfPiece(all.first(), all.last(), desired, load));
			removePart(pieces, widest.get(), part);
			moves.add(new RangeMove(part, source.owner(), receiver.owner()));
			source.addWeight(-weight(part, load));
			receiver.addWeight(weight(part, load));
		}
	}

	private static Optional<RangeMove> planMove(Bin source, Bin receiver, List<OwnedRange> pieces, KeyLoad load) {
		double gap = source.utilization() - receiver.utilization();
		double desired = GAP_FRACTION * gap / (source.utilizationPerLoad() + receiver.utilizationPerLoad());
		Optional<Window> best = pieces.stream()
			.filter((piece) -> piece.owner().equals(source.owner()))
			.map((piece) -> Window.narrowest(piece, desired, load))
			.flatMap(Optional::stream)
			.min(Comparator.comparingInt((window) -> window.keys().size()));
		Optional<Window> window = best.filter((found) -> found.load() >= MIN_LOAD_FRACTION * desired
				&& receiver.utilization() + found.load() * receiver.utilizationPerLoad() < source.utilization());
		window.ifPresent((found) -> {
			removePart(pieces, found.piece(), found.keys());
			source.addLoad(-found.load());
			receiver.addLoad(found.load());
		});
		return window.map((found) -> new RangeMove(found.keys(), source.owner(), receiver.owner()));
	}

	// Removes a part that is to be moved from the movable pieces. The rest of its range
	// may still be moved in the same round.
	private static void removePart(List<OwnedRange> pieces, OwnedRange piece, KeyRange part) {
		pieces.remove(piece);
		KeyRange all = piece.keys();
		if (all.first() < part.first()) {
			pieces.add(piece.with(new KeyRange(all.first(), part.first() - 1)));
		}
		if (all.last() > part.last()) {
			pieces.add(piece.with(new KeyRange(part.last() + 1, all.last())));
		}
	}

	// Returns the last key of the shortest piece that starts at the given key and reaches
	// the desired weight, or the last key of the range if the range ends before.
	private static int endOfPiece(int first, int last, double desired, KeyLoad load) {
		double sum = 0;
		for (int key = first; key <= last; key++) {
			sum += weight(key, load);
			if (sum >= desired) {
				return key;
			}
		}
		return last;
	}

	private static double weight(int key, KeyLoad load) {
		return load.of(key) + MIN_KEY_WEIGHT;
	}

	/**
	 * Returns the weight of a range, by which keys are distributed over targets: its load
	 * plus a minimum weight for each key.
	 * @param keys the range
	 * @param load the load of the keys
	 * @return the weight
	 */
	public static double weight(KeyRange keys, KeyLoad load) {
		return load.of(keys) + MIN_KEY_WEIGHT * keys.size();
	}

	/**
	 * Contiguous keys of a range that may be moved, with their load.
	 */
	private record Window(OwnedRange piece, KeyRange keys, double load) {

		// Finds the fewest contiguous keys whose load is between the desired load and
		// twice as much, by a sliding window. Returns the whole range if its load is
		// lower than desired.
		static Optional<Window> narrowest(OwnedRange piece, double desired, KeyLoad load) {
			KeyRange all = piece.keys();
			Window best = null;
			int first = all.first();
			double sum = 0;
			for (int last = all.first(); last <= all.last(); last++) {
				sum += load.of(last);
				while (first < last && sum - load.of(first) >= desired) {
					sum -= load.of(first);
					first++;
				}
				boolean narrower = best == null || last - first + 1 < best.keys().size();
				if (sum >= desired && sum <= 2 * desired && narrower) {
					best = new Window(piece, new KeyRange(first, last), sum);
				}
			}
			if (best == null && sum > 0 && sum < desired) {
				best = new Window(piece, all, load.of(all));
			}
			return Optional.ofNullable(best);
		}

	}

	/**
	 * The planned assignment of a range without an owner.
	 *
	 * @param keys the range
	 * @param owner the target that becomes the owner
	 */
	public record RangeAssignment(KeyRange keys, Owner owner) {
	}

	/**
	 * The planned move of keys from their owner to another target.
	 *
	 * @param keys the keys, which lie within one range of their owner
	 * @param owner the current owner
	 * @param receiver the target that becomes the owner
	 */
	public record RangeMove(KeyRange keys, Owner owner, Owner receiver) {
	}

	/**
	 * A target with its capacity and the load assigned to it during planning. Not thread
	 * safe.
	 */
	public static final class Bin {

		private static final double MILLIS_PER_SECOND = 1000;

		private final Owner owner;

		private final double capacity;

		private double weight;

		private double assignedLoad;

		/**
		 * Creates a bin.
		 * @param owner the target
		 * @param capacity the number of requests of average speed that the target runs at
		 * once
		 * @param ranges the ranges that the target owns
		 * @param load the load of the keys
		 */
		public Bin(Owner owner, double capacity, Stream<KeyRange> ranges, KeyLoad load) {
			this.owner = owner;
			this.capacity = capacity;
			ranges.forEach((range) -> {
				this.weight += KeyPlanner.weight(range, load);
				this.assignedLoad += load.of(range);
			});
		}

		/**
		 * Returns the target.
		 * @return the target
		 */
		public Owner owner() {
			return this.owner;
		}

		/**
		 * Returns the fraction of the slots in use.
		 * @return the utilization, above 1 if the target is overloaded
		 */
		public double utilization() {
			return this.assignedLoad * utilizationPerLoad();
		}

		double utilizationPerLoad() {
			return 1 / (this.capacity * MILLIS_PER_SECOND);
		}

		double capacity() {
			return this.capacity;
		}

		double weight() {
			return this.weight;
		}

		double weightPerCapacity() {
			return this.weight / capacity();
		}

		void addWeight(double added) {
			this.weight += added;
		}

		void addLoad(double added) {
			this.assignedLoad += added;
		}

	}

}
