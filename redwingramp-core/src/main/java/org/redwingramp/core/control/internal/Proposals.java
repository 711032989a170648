package org.redwingramp.core.control.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.redwingramp.core.control.Command;

/**
 * Collects the commands of a tick and holds back those proposed a short while ago. Not
 * thread safe.
 */
final class Proposals {

	/** Longer than a commit takes unless the leader is about to lose its role. */
	static final long REPEAT_NANOS = 200_000_000L;

	/** Bounds a command to about 64 KiB. */
	static final int MAX_ITEMS = 256;

	private static final int MAX_COMMANDS = 64;

	private static final long FORGET_NANOS = 10_000_000_000L;

	private static final int FORGET_SIZE = 4_096;

	private final Map<Object, Long> proposed = new HashMap<>();

	private List<Command> commands = new ArrayList<>();

	private long now;

	void start(long time) {
		this.now = time;
		this.commands = new ArrayList<>();
		if (this.proposed.size() > FORGET_SIZE) {
			this.proposed.values().removeIf((at) -> time - at > FORGET_NANOS);
		}
	}

	List<Command> commands() {
		return List.copyOf(this.commands);
	}

	void add(Command command) {
		add(command, command);
	}

	boolean add(Object key, Command command) {
		if (this.commands.size() >= MAX_COMMANDS || !due(key)) {
			return false;
		}
		this.commands.add(command);
		return true;
	}

	/**
	 * Adds one command for the items that are due.
	 * @param <T> the type of the items
	 * @param items the items
	 * @param key what identifies an item over several ticks
	 * @param command creates the command
	 * @return the items that are in the command
	 */
	<T> List<T> addBatch(List<T> items, Function<T, Object> key, Function<List<T>, Command> command) {
		if (this.commands.size() >= MAX_COMMANDS) {
			return List.of();
		}
		List<T> due = items.stream().filter((item) -> due(key.apply(item))).limit(MAX_ITEMS).toList();
		if (!due.isEmpty()) {
			this.commands.add(command.apply(due));
		}
		return due;
	}

	private boolean due(Object key) {
		Long last = this.proposed.get(key);
		if (last != null && this.now - last < REPEAT_NANOS) {
			return false;
		}
		this.proposed.put(key, this.now);
		return true;
	}

}
