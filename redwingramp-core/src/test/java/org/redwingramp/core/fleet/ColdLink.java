package org.redwingramp.core.fleet;

/**
 * The connection of an entry instance to a control leader. Invariant: messages of one
 * direction arrive in the order in which they were sent, or not at all once the link is
 * closed. Not thread safe.
 */
final class ColdLink {

	private static final long MS = SimulatedTime.MS;

	private final ColdFleet fleet;

	private final ColdEntry entry;

	private final ColdLeader leader;

	private boolean open = true;

	private long lastToEntryNanos;

	private long lastToLeaderNanos;

	ColdLink(ColdFleet fleet, ColdEntry entry, ColdLeader leader) {
		this.fleet = fleet;
		this.entry = entry;
		this.leader = leader;
	}

	ColdEntry entry() {
		return this.entry;
	}

	ColdLeader leader() {
		return this.leader;
	}

	void close() {
		this.open = false;
		this.leader.receive(() -> this.leader.linkClosed(this));
	}

	void toEntry(Runnable message) {
		this.lastToEntryNanos = arrival(this.lastToEntryNanos);
		schedule(this.lastToEntryNanos, message);
	}

	void toLeader(Runnable message) {
		this.lastToLeaderNanos = arrival(this.lastToLeaderNanos);
		schedule(this.lastToLeaderNanos, () -> this.leader.receive(message));
	}

	private long arrival(long former) {
		long undisturbed = this.fleet.time.now() + (1 + this.fleet.random.nextInt(3)) * MS;
		return Math.max(former, Math.max(undisturbed, this.entry.stalledUntilNanos));
	}

	private void schedule(long atNanos, Runnable message) {
		this.fleet.time.schedule((atNanos - this.fleet.time.now()) / MS, () -> {
			if (this.open) {
				message.run();
			}
		});
	}

}
