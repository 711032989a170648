package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The owner of each slice of a sharded service, and the requests that wait while a slice
 * is blocked, which means that it has no owner. Not thread safe.
 */
final class ShardMap {

	/** The default number of slices of a service record. */
	static final int SLICES = 256;

	private static final long NOT_BLOCKED = -1;

	private final VirtualTime time;

	private final int[] owners;

	private final long[] blockedSinceNanos = new long[SLICES];

	private final long[] unavailableNanos = new long[SLICES];

	private final List<List<Runnable>> waiting = IntStream.range(0, SLICES)
		.<List<Runnable>>mapToObj((slice) -> new ArrayList<>())
		.toList();

	private int moveCount;

	ShardMap(VirtualTime time, int targets) {
		this.time = time;
		this.owners = IntStream.range(0, SLICES).map((slice) -> slice % targets).toArray();
		Arrays.fill(this.blockedSinceNanos, NOT_BLOCKED);
	}

	int owner(int slice) {
		return this.owners[slice];
	}

	boolean blocked(int slice) {
		return this.blockedSinceNanos[slice] != NOT_BLOCKED;
	}

	List<Integer> slicesOf(int target) {
		return IntStream.range(0, SLICES).filter((slice) -> this.owners[slice] == target).boxed().toList();
	}

	/**
	 * Sets the initial owner of a slice.
	 * @param slice the slice
	 * @param target the owner
	 */
	void setInitialOwner(int slice, int target) {
		this.owners[slice] = target;
	}

	void block(int slice) {
		if (!blocked(slice)) {
			this.blockedSinceNanos[slice] = this.time.now();
		}
	}

	void runWhenAssigned(int slice, Runnable action) {
		this.waiting.get(slice).add(action);
	}

	void assign(int slice, int target) {
		this.moveCount += (this.owners[slice] != target) ? 1 : 0;
		this.owners[slice] = target;
		this.unavailableNanos[slice] += this.time.now() - this.blockedSinceNanos[slice];
		this.blockedSinceNanos[slice] = NOT_BLOCKED;
		List<Runnable> resumed = List.copyOf(this.waiting.get(slice));
		this.waiting.get(slice).clear();
		resumed.forEach(Runnable::run);
	}

	int moveCount() {
		return this.moveCount;
	}

	double meanUnavailableMillis() {
		return Arrays.stream(this.unavailableNanos).average().orElse(0) / VirtualTime.MILLIS;
	}

	double maxUnavailableMillis() {
		return Arrays.stream(this.unavailableNanos).max().orElse(0) / (double) VirtualTime.MILLIS;
	}

}
