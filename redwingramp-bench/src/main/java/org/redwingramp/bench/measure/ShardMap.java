package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The owner of each slice of a sharded service, and the requests that wait while a slice
 * has none. Not thread safe.
 */
final class ShardMap {

	/** The default number of slices of a service record. */
	static final int SLICES = 256;

	private static final long NOT_BLOCKED = -1;

	private final VirtualTime time;

	private final int[] owners;

	private final long[] blockedSince = new long[SLICES];

	private final long[] unavailable = new long[SLICES];

	private final List<List<Runnable>> waiting = IntStream.range(0, SLICES)
		.<List<Runnable>>mapToObj((slice) -> new ArrayList<>())
		.toList();

	private int moves;

	ShardMap(VirtualTime time, int targets) {
		this.time = time;
		this.owners = IntStream.range(0, SLICES).map((slice) -> slice % targets).toArray();
		Arrays.fill(this.blockedSince, NOT_BLOCKED);
	}

	int owner(int slice) {
		return this.owners[slice];
	}

	boolean blocked(int slice) {
		return this.blockedSince[slice] != NOT_BLOCKED;
	}

	List<Integer> slicesOf(int target) {
		return IntStream.range(0, SLICES).filter((slice) -> this.owners[slice] == target).boxed().toList();
	}

	/**
	 * Gives a slice its first owner.
	 * @param slice the slice
	 * @param target the owner
	 */
	void place(int slice, int target) {
		this.owners[slice] = target;
	}

	void block(int slice) {
		if (!blocked(slice)) {
			this.blockedSince[slice] = this.time.now();
		}
	}

	void await(int slice, Runnable action) {
		this.waiting.get(slice).add(action);
	}

	void assign(int slice, int target) {
		this.moves += (this.owners[slice] != target) ? 1 : 0;
		this.owners[slice] = target;
		this.unavailable[slice] += this.time.now() - this.blockedSince[slice];
		this.blockedSince[slice] = NOT_BLOCKED;
		List<Runnable> released = List.copyOf(this.waiting.get(slice));
		this.waiting.get(slice).clear();
		released.forEach(Runnable::run);
	}

	int moves() {
		return this.moves;
	}

	double meanUnavailableMillis() {
		return Arrays.stream(this.unavailable).average().orElse(0) / VirtualTime.MILLIS;
	}

	double longestUnavailableMillis() {
		return Arrays.stream(this.unavailable).max().orElse(0) / (double) VirtualTime.MILLIS;
	}

}
