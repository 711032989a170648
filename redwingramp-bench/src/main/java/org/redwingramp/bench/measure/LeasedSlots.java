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
 * Shares a target's slots by leasing them to the entries, which send directly to the
 * target, as an alternative to one gate. Entries request slots and return idle ones
 * either on demand or with their heartbeats. A slot is leased again only after it was
 * returned or its lease expired. Not thread safe.
 */
final class LeasedSlots implements SlotSharing {

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private final List<Entry> entries;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Sender sender;

	private final boolean onDemand;

	private int unleasedSlots;

	LeasedSlots(VirtualTime time, Deployment deployment, Sender sender, boolean onDemand) {
		this.time = time;
		this.deployment = deployment;
		this.sender = sender;
		this.onDemand = onDemand;
		this.unleasedSlots = deployment.slots();
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
			startWaiting(entry);
			if (this.onDemand && !entry.queue.isEmpty()) {
				this.time.after(this.deployment.hopNanos(), () -> requestSlots(entry, entry.queue.size()));
			}
		}
	}

	@Override
	public void loseEntryWithMostSlots() {
		Entry lostEntry = this.entries.stream()
			.max(Comparator.comparingInt((entry) -> entry.leasedSlots))
			.orElseThrow();
		lostEntry.lost = true;
		lostEntry.queue.clear();
		lostEntry.requestedSlots = 0;
		int lostSlots = lostEntry.leasedSlots;
		this.time.after(TIMING.grantorWaitNanos(TIMING.grantLeaseNanos()), () -> returnSlots(lostSlots));
	}

	@Override
	public int waiting() {
		return this.entries.stream().mapToInt((entry) -> entry.queue.size()).sum();
	}

	@Override
	public long responseNanos() {
		return this.deployment.hopNanos();
	}

	private void heartbeat(Entry entry) {
		if (!entry.lost) {
			int waiting = entry.queue.size();
			int idleSlots = (waiting == 0) ? entry.leasedSlots - entry.running : 0;
			entry.leasedSlots -= idleSlots;
			this.time.after(this.deployment.hopNanos(), () -> {
				requestSlots(entry, waiting);
				returnSlots(idleSlots);
			});
		}
	}

	private void startWaiting(Entry entry) {
		while (!entry.lost && entry.running < entry.leasedSlots && !entry.queue.isEmpty()) {
			entry.running++;
			this.sender.send(entry.queue.remove(), () -> onResponse(entry));
		}
	}

	private void onResponse(Entry entry) {
		if (entry.lost) {
			return;
		}
		entry.running--;
		startWaiting(entry);
		if (this.onDemand && entry.running < entry.leasedSlots) {
			entry.leasedSlots--;
			this.time.after(this.deployment.hopNanos(), () -> returnSlots(1));
		}
	}

	private void requestSlots(Entry entry, int waiting) {
		entry.requestedSlots = (entry.lost) ? 0 : waiting;
		returnSlots(0);
	}

	private void returnSlots(int slots) {
		this.unleasedSlots += slots;
		Optional<Entry> next = entryWithMostRequests();
		while (this.unleasedSlots > 0 && next.isPresent()) {
			Entry entry = next.get();
			this.unleasedSlots--;
			entry.requestedSlots--;
			this.time.after(this.deployment.hopNanos(), () -> receiveSlot(entry));
			next = entryWithMostRequests();
		}
	}

	private void receiveSlot(Entry entry) {
		entry.leasedSlots++;
		startWaiting(entry);
		if (this.onDemand && !entry.lost && entry.running < entry.leasedSlots) {
			entry.leasedSlots--;
			this.time.after(this.deployment.hopNanos(), () -> returnSlots(1));
		}
	}

	private Optional<Entry> entryWithMostRequests() {
		return new ArrayList<>(this.entries).stream()
			.filter((entry) -> entry.requestedSlots > 0)
			.max(Comparator.comparingInt((entry) -> entry.requestedSlots));
	}

	private static final class Entry {

		private final Queue<Long> queue = new ArrayDeque<>();

		private int leasedSlots;

		private int running;

		private int requestedSlots;

		private boolean lost;

	}

}
