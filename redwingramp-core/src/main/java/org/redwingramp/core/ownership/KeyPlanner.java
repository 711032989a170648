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
 * Decides which keys move to which target. Stateless apart from its settings; not thread
 * safe, since the bins it works on change while it plans.
 */
public final class KeyPlanner {

	/**
	 * A target below this use of its slots is left alone, in parts of 1: moving keys
	 * costs more than the queueing that it would save.
	 */
	private static final double CALM_USE = 0.55;

	/**
	 * A target is overloaded if its use is this much above that of the least used one.
	 */
	private static final double MIN_GAP = 0.3;

	/**
	 * The part of a gap between two targets that one move closes at most. Below a half,
	 * so that the receiver doesn't become the next source.
	 */
	private static final double GAP_PART = 0.5;

	/** The least part of the wanted work that makes a move worthwhile. */
	private static final double MIN_PART = 0.35;

	/** A target with less than this part of the mean weight counts as having no keys. */
	private static final double EMPTY_PART = 0.35;

	/**
	 * Beyond this many ranges for each target, small ones go back to a neighbour's owner.
	 * Each range is renewed by a call of its own.
	 */
	private static final int RANGES_PER_TARGET = 2;

	/** A range that uses less of its target's slots may go to any neighbour's owner. */
	private static final double SMALL_USE = 0.05;

	/** The most moves planned at once. */
	private static final int MAX_MOVES = 8;

	/**
	 * Plans where ranges without an owner go: each to the target that has least for its
	 * capacity, large ranges in several pieces.
	 * @param free the ranges
	 * @param bins the targets
	 * @param load the work of the keys
	 * @return the placements
	 */
	public List<Placement> place(List<KeyRange> free, List<Bin> bins, KeyLoad load) {
		if (bins.isEmpty()) {
			return List.of();
		}
		double capacity = bins.stream().mapToDouble(Bin::capacity).sum();
		double assigned = bins.stream().mapToDouble(Bin::weight).sum();
		double total = assigned + free.stream().mapToDouble((range) -> weight(range, load)).sum();
		List<Placement> placements = new ArrayList<>();
		free.forEach((range) -> {
			int first = range.first();
			while (first <= range.last()) {
				Bin bin = bins.stream().min(Comparator.comparingDouble(Bin::fill)).orElseThrow();
				double room = Math.max(total * bin.capacity() / capacity - bin.weight(), total / capacity / 4);
				int last = end(first, range.last(), room, load);
				KeyRange piece = new KeyRange(first, last);
				bin.add(weight(piece, load));
				placements.add(new Placement(piece, bin.owner()));
				first = last + 1;
			}
		});
		return placements;
	}

	/**
	 * Plans moves from overloaded targets to the least loaded ones.
	 * @param bins the targets that may own keys
	 * @param ranges the ranges that may move, whole or in parts
	 * @param load the work of the keys
	 * @return the moves, the most useful first
	 */
	public List<Shift> balance(List<Bin> bins, List<OwnedRange> ranges, KeyLoad load) {
		List<OwnedRange> pieces = new ArrayList<>(ranges);
		List<Shift> shifts = new ArrayList<>();
		List<Owner> done = new ArrayList<>();
		while (shifts.size() < MAX_MOVES) {
			Optional<Bin> source = bins.stream()
				.filter((bin) -> !done.contains(bin.owner()))
				.max(Comparator.comparingDouble(Bin::use));
			Optional<Bin> receiver = bins.stream().min(Comparator.comparingDouble(Bin::use));
			if (source.isEmpty() || source.get().use() < CALM_USE
					|| source.get().use() - receiver.orElseThrow().use() < MIN_GAP) {
				break;
			}
			Optional<Shift> shift = shift(source.get(), receiver.get(), pieces, load);
			shift.ifPresentOrElse(shifts::add, () -> done.add(source.get().owner()));
		}
		spread(bins, pieces, load, shifts);
		return shifts;
	}

	/**
	 * Plans moves of small ranges with little work to the owner of a neighbouring range,
	 * so that the ranges that moves of hot keys left behind become one again.
	 * @param bins the targets that may own keys
	 * @param all all ranges in the order of their keys
	 * @param movable those that may move
	 * @param moving the targets that take part in other moves of this round
	 * @param load the work of the keys
	 * @return the moves, the smallest ranges first
	 */
	public List<Shift> tidy(List<Bin> bins, List<OwnedRange> all, Set<OwnedRange> movable, Set<Owner> moving,
			KeyLoad load) {
		if (all.size() <= RANGES_PER_TARGET * bins.size()) {
			return List.of();
		}
		Map<Owner, Bin> byOwner = bins.stream().collect(Collectors.toMap(Bin::owner, (bin) -> bin));
		Map<Owner, Long> count = all.stream().collect(Collectors.groupingBy(OwnedRange::owner, Collectors.counting()));
		List<Shift> shifts = new ArrayList<>();
		Set<Owner> involved = new HashSet<>(moving);
		IntStream.range(0, all.size())
			.boxed()
			.filter((i) -> movable.contains(all.get(i)) && count.get(all.get(i).owner()) > 1)
			.sorted(Comparator.comparingInt((i) -> all.get(i).keys().size()))
			.forEach((i) -> {
				OwnedRange range = all.get(i);
				double work = load.of(range.keys());
				double limit = Optional.ofNullable(byOwner.get(range.owner())).map(Bin::use).orElse(CALM_USE);
				if (shifts.size() >= MAX_MOVES || involved.contains(range.owner())) {
					return;
				}
				neighbours(all, i).map((neighbour) -> byOwner.get(neighbour.owner()))
					.filter((bin) -> bin != null && !involved.contains(bin.owner()) && hasRoom(bin, work, limit))
					.min(Comparator.comparingDouble(Bin::use))
					.ifPresent((bin) -> {
						shifts.add(new Shift(range.keys(), range.owner(), bin.owner()));
						bin.work(work);
						involved.add(range.owner());
						involved.add(bin.owner());
					});
			});
		return shifts;
	}

	// Returns whether a target stays calm, or no busier than the present owner.
	private static boolean hasRoom(Bin bin, double work, double ownersUse) {
		double added = work * bin.usePerWork();
		return added <= SMALL_USE && bin.use() + added <= Math.max(CALM_USE, ownersUse);
	}

	private static Stream<OwnedRange> neighbours(List<OwnedRange> all, int index) {
		OwnedRange range = all.get(index);
		return IntStream.of(index - 1, index + 1)
			.filter((i) -> i >= 0 && i < all.size())
			.mapToObj(all::get)
			.filter((other) -> !other.owner().equals(range.owner()))
			.filter((other) -> other.keys().last() + 1 == range.keys().first()
					|| range.keys().last() + 1 == other.keys().first());
	}

	// Gives keys to targets that have almost none, for example because they just joined.
	private static void spread(List<Bin> bins, List<OwnedRange> pieces, KeyLoad load, List<Shift> shifts) {
		double mean = bins.stream().mapToDouble(Bin::fill).average().orElse(0);
		List<Bin> empty = bins.stream().filter((bin) -> bin.fill() < EMPTY_PART * mean).toList();
		for (Bin receiver : empty) {
			Bin source = bins.stream().max(Comparator.comparingDouble(Bin::fill)).orElseThrow();
			double wanted = Math.min(mean * receiver.capacity(), source.weight() / 2);
			Optional<OwnedRange> widest = pieces.stream()
				.filter((piece) -> piece.owner().equals(source.owner()))
				.max(Comparator.comparingInt((piece) -> piece.keys().size()));
			if (widest.isEmpty() || shifts.size() >= MAX_MOVES) {
				return;
			}
			KeyRange all = widest.get().keys();
			KeyRange part = new KeyRange(all.first(), end(all.first(), all.last(), wanted, load));
			take(pieces, widest.get(), part);
			shifts.add(new Shift(part, source.owner(), receiver.owner()));
			source.add(-weight(part, load));
			receiver.add(weight(part, load));
		}
	}

	private static Optional<Shift> shift(Bin source, Bin receiver, List<OwnedRange> pieces, KeyLoad load) {
		double gap = source.use() - receiver.use();
		double wanted = GAP_PART * gap / (source.usePerWork() + receiver.usePerWork());
		Optional<Window> best = pieces.stream()
			.filter((piece) -> piece.owner().equals(source.owner()))
			.map((piece) -> Window.narrowest(piece, wanted, load))
			.flatMap(Optional::stream)
			.min(Comparator.comparingInt((window) -> window.keys().size()));
		Optional<Window> window = best.filter((found) -> found.work() >= MIN_PART * wanted
				&& receiver.use() + found.work() * receiver.usePerWork() < source.use());
		window.ifPresent((found) -> {
			take(pieces, found.piece(), found.keys());
			source.work(-found.work());
			receiver.work(found.work());
		});
		return window.map((found) -> new Shift(found.keys(), source.owner(), receiver.owner()));
	}

	// The rest of a piece may still move in the same round.
	private static void take(List<OwnedRange> pieces, OwnedRange piece, KeyRange part) {
		pieces.remove(piece);
		KeyRange all = piece.keys();
		if (all.first() < part.first()) {
			pieces.add(piece.with(new KeyRange(all.first(), part.first() - 1)));
		}
		if (all.last() > part.last()) {
			pieces.add(piece.with(new KeyRange(part.last() + 1, all.last())));
		}
	}

	private static int end(int first, int last, double room, KeyLoad load) {
		double sum = 0;
		for (int key = first; key <= last; key++) {
			sum += weight(key, load);
			if (sum >= room) {
				return key;
			}
		}
		return last;
	}

	// Keys without known work count a little, so that they are spread evenly too.
	private static double weight(int key, KeyLoad load) {
		return load.of(key) + 0.05;
	}

	/**
	 * Returns the weight of a range for placement.
	 * @param keys the range
	 * @param load the work of the keys
	 * @return the weight
	 */
	public static double weight(KeyRange keys, KeyLoad load) {
		return load.of(keys) + 0.05 * keys.size();
	}

	/**
	 * The fewest neighbouring keys of a piece that carry the wanted work.
	 */
	private record Window(OwnedRange piece, KeyRange keys, double work) {

		static Optional<Window> narrowest(OwnedRange piece, double wanted, KeyLoad load) {
			KeyRange all = piece.keys();
			Window best = null;
			int first = all.first();
			double sum = 0;
			for (int last = all.first(); last <= all.last(); last++) {
				sum += load.of(last);
				while (first < last && sum - load.of(first) >= wanted) {
					sum -= load.of(first);
					first++;
				}
				boolean narrower = best == null || last - first + 1 < best.keys().size();
				if (sum >= wanted && sum <= 2 * wanted && narrower) {
					best = new Window(piece, new KeyRange(first, last), sum);
				}
			}
			if (best == null && sum > 0 && sum < wanted) {
				best = new Window(piece, all, load.of(all));
			}
			return Optional.ofNullable(best);
		}

	}

	/**
	 * A range with the target that gets it.
	 *
	 * @param keys the range
	 * @param owner the target
	 */
	public record Placement(KeyRange keys, Owner owner) {
	}

	/**
	 * A move of keys that have an owner.
	 *
	 * @param keys the keys, which lie in one range of their owner
	 * @param owner the target that has them
	 * @param receiver the target that gets them
	 */
	public record Shift(KeyRange keys, Owner owner, Owner receiver) {
	}

	/**
	 * A target with its capacity and load. Not thread safe.
	 */
	public static final class Bin {

		private static final double MILLIS_PER_SECOND = 1000;

		private final Owner owner;

		private final int slots;

		private final double slowness;

		private double weight;

		private double work;

		/**
		 * Creates a bin.
		 * @param owner the target
		 * @param slots its slots
		 * @param slowness how long work takes there, 1 for the average
		 * @param ranges its ranges
		 * @param load the work of the keys
		 */
		public Bin(Owner owner, int slots, double slowness, Stream<KeyRange> ranges, KeyLoad load) {
			this.owner = owner;
			this.slots = slots;
			this.slowness = slowness;
			ranges.forEach((range) -> {
				this.weight += KeyPlanner.weight(range, load);
				this.work += load.of(range);
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
		 * Returns the part of the slots in use.
		 * @return the use, above 1 if the target can't keep up
		 */
		public double use() {
			return this.work * usePerWork();
		}

		double usePerWork() {
			return this.slowness / this.slots / MILLIS_PER_SECOND;
		}

		double capacity() {
			return this.slots / this.slowness;
		}

		double weight() {
			return this.weight;
		}

		double fill() {
			return this.weight / capacity();
		}

		void add(double more) {
			this.weight += more;
		}

		void work(double more) {
			this.work += more;
		}

	}

}
