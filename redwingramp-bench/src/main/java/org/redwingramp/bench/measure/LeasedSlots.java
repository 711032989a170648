package org.redwingramp.bench.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.stream.IntStream;

import org.redwingramp.core.control.ControlTiming;

/**
 * The alternative to one gate: the slots are leased to the entries, which send directly.
 * Entries ask for slots and return idle ones at once, or with their heartbeats. A slot is
 * leased again only after its return or the end of its lease. Not thread safe.
 */
final class LeasedSlots implements SlotSharing {

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private final List<Entry> entries;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Sender sender;

	private final boolean onDemand;

	private int free;

	LeasedSlots(VirtualTime time, Deployment deployment, Sender sender, boolean onDemand) {
		this.time = time;
		this.deployment = deployment;
		this.sender = sender;
		this.onDemand = onDemand;
		this.free = deployment.slots();
		this.entries = IntStream.range(0, deployment.entries()).mapToObj((index) -> new Entry()).toList();
		long period = TIMING.entryHeartbeatNanos();
		IntStream.range(0, this.entries.size())
			.forEach((index) -> time.after(index * period / this.entries.size(),
					() -> time.every(period, () -> heartbeat(this.entries.get(index)))));
	}

	@Override
	public void arrive(int index, long id) {
		Entry entry = this.entries.get(index);
		if (!entry.lost) {
			entry.queue.add(id);
			start(entry);
			if (this.onDemand && !entry.queue.isEmpty()) {
				this.time.after(this.deployment.hopNanos(), () -> ask(entry, entry.queue.size()));
			}
		}
	}

	@Override
	public void loseWorstEntry() {
		Entry worst = this.entries.stream().max(Comparator.comparingInt((entry) -> entry.held)).orElseThrow();
		worst.lost = true;
		worst.queue.clear();
		worst.wanted = 0;
		int held = worst.held;
		this.time.after(TIMING.grantorWaitNanos(TIMING.grantLeaseNanos()), () -> release(held));
	}

	@Override
	public int waiting() {
		return this.entries.stream().mapToInt((entry) -> entry.queue.size()).sum();
	}

	@Override
	public long answerNanos() {
		return this.deployment.hopNanos();
	}

	private void heartbeat(Entry entry) {
		if (!entry.lost) {
			int waiting = entry.queue.size();
			int idle = (waiting == 0) ? entry.held - entry.running : 0;
			entry.held -= idle;
			this.time.after(this.deployment.hopNanos(), () -> {
				ask(entry, waiting);
				release(idle);
			});
		}
	}

	private void start(Entry entry) {
		while (!entry.lost && entry.running < entry.held && !entry.queue.isEmpty()) {
			entry.running++;
			this.sender.send(entry.queue.remove(), () -> done(entry));
		}
	}

	private void done(Entry entry) {
		if (entry.lost) {
			return;
		}
		entry.running--;
		start(entry);
		if (this.onDemand && entry.running < entry.held) {
			entry.held--;
			this.time.after(this.deployment.hopNanos(), () -> release(1));
		}
	}

	private void ask(Entry entry, int waiting) {
		entry.wanted = (entry.lost) ? 0 : waiting;
		release(0);
	}

	private void release(int slots) {
		this.free += slots;
		Optional<Entry> next = neediest();
		while (this.free > 0 && next.isPresent()) {
			Entry entry = next.get();
			this.free--;
			entry.wanted--;
			this.time.after(this.deployment.hopNanos(), () -> grant(entry));
			next = neediest();
		}
	}

	private void grant(Entry entry) {
		entry.held++;
		start(entry);
		if (this.onDemand && !entry.lost && entry.running < entry.held) {
			entry.held--;
			this.time.after(this.deployment.hopNanos(), () -> release(1));
		}
	}

	private Optional<Entry> neediest() {
		return new ArrayList<>(this.entries).stream()
			.filter((entry) -> entry.wanted > 0)
			.max(Comparator.comparingInt((entry) -> entry.wanted));
	}

	private static final class Entry {

		private final Queue<Long> queue = new ArrayDeque<>();

		private int held;

		private int running;

		private int wanted;

		private boolean lost;

	}

}
