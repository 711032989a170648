package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.redwingramp.core.control.Command;

/**
 * Collects the commands that one tick of the leader proposes, and suppresses those that
 * were proposed recently, since their effect may not be visible yet. Not thread safe.
 */
final class Proposals {

	/** A commit takes less than this, unless the leader is about to lose its role. */
	static final long REPEAT_INTERVAL_NANOS = 200_000_000L;

	/** Limits the size of a command to about 64 KiB. */
	static final int MAX_ITEMS_PER_COMMAND = 256;

	private static final int MAX_COMMANDS_PER_TICK = 64;

	private static final long RETENTION_NANOS = 10_000_000_000L;

	private static final int CLEANUP_SIZE = 4_096;

	private final Map<Object, Long> lastProposed = new HashMap<>();

	private List<Command> commands = new ArrayList<>();

	private long now;

	void startTick(long time) {
		this.now = time;
		this.commands = new ArrayList<>();
		if (this.lastProposed.size() > CLEANUP_SIZE) {
			this.lastProposed.values().removeIf((at) -> time - at > RETENTION_NANOS);
		}
	}

	List<Command> commands() {
		return List.copyOf(this.commands);
	}

	void add(Command command) {
		add(command, command);
	}

	boolean add(Object key, Command command) {
		if (this.commands.size() >= MAX_COMMANDS_PER_TICK || !due(key)) {
			return false;
		}
		this.commands.add(command);
		return true;
	}

	/**
	 * Adds one command for those of the items that were not proposed recently.
	 * @param <T> the type of the items
	 * @param items the items
	 * @param key returns what identifies an item across ticks
	 * @param command creates the command
	 * @return the items that are in the command
	 */
	<T> List<T> addBatch(List<T> items, Function<T, Object> key, Function<List<T>, Command> command) {
		if (this.commands.size() >= MAX_COMMANDS_PER_TICK) {
			return List.of();
		}
		List<T> due = items.stream().filter((item) -> due(key.apply(item))).limit(MAX_ITEMS_PER_COMMAND).toList();
		if (!due.isEmpty()) {
			this.commands.add(command.apply(due));
		}
		return due;
	}

	private boolean due(Object key) {
		Long last = this.lastProposed.get(key);
		if (last != null && this.now - last < REPEAT_INTERVAL_NANOS) {
			return false;
		}
		this.lastProposed.put(key, this.now);
		return true;
	}

}
