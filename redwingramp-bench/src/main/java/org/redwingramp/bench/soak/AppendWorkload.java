package org.redwingramp.bench.soak;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.consensus.LogEntry;

/**
 * Appends numbers to a counter, the simplest state machine whose order shows. Not thread
 * safe.
 */
final class AppendWorkload implements Workload {

	private static final long INTERVAL_MILLIS = 10;

	/** Above one chunk of a snapshot transfer. */
	private static final int PADDING_BYTES = 600 * 1024;

	/** Large enough to divide the entries of one replica among several appends. */
	private static final int LARGE_BYTES = 300 * 1024;

	private final World world;

	private final Set<Long> acknowledged = new HashSet<>();

	private long quietUntil;

	private long next;

	private long lastAcknowledged;

	AppendWorkload(World world) {
		this.world = world;
	}

	@Override
	public StateMachine newMachine() {
		return new Counter();
	}

	@Override
	public void start() {
		this.world.simulation().every(INTERVAL_MILLIS, this::proposeUnlessQuiet);
	}

	@Override
	public void injectFault() {
		burst();
	}

	@Override
	public void endFaults() {
		this.lastAcknowledged = this.next + 1;
	}

	@Override
	public void afterEach() {
		// The order is checked with the digest of each replica.
	}

	@Override
	public String missing() {
		return this.acknowledged.stream().anyMatch((number) -> number >= this.lastAcknowledged) ? ""
				: "no append was acknowledged since the faults ended";
	}

	@Override
	public Map<String, Long> work() {
		return Map.of("appends acknowledged", (long) this.acknowledged.size());
	}

	private void burst() {
		this.world.trace().fault("burst of proposals");
		for (int i = 0; i < 150; i++) {
			propose();
		}
	}

	// Without pauses, a replica that misses messages always has an older log, so its log
	// alone would keep it from being elected and other safeguards wouldn't be tried.
	private void proposeUnlessQuiet() {
		Simulation simulation = this.world.simulation();
		if (simulation.now() < this.quietUntil) {
			return;
		}
		if (simulation.chance(0.01)) {
			this.quietUntil = simulation.now() + simulation.between(200, 1500);
		}
		propose();
	}

	private void propose() {
		ReplicaProcess process = this.world.proposalReceiver();
		long number = ++this.next;
		int bound = this.world.simulation().chance(0.01) ? LARGE_BYTES : 2000;
		byte[] command = ByteBuffer.allocate(Long.BYTES + this.world.simulation().random().nextInt(bound))
			.putLong(number)
			.array();
		long wall = this.world.simulation().nowMillis() + this.world.simulation().random().nextInt(2000);
		process.run(() -> process.propose(wall, command, (status, result) -> {
			if (status == ProposalCallback.Status.APPLIED) {
				this.acknowledged.add(number);
			}
		}));
	}

	/**
	 * Folds the numbers in order.
	 */
	private static final class Counter implements StateMachine {

		private long digest = 17;

		@Override
		public Object apply(LogEntry entry) {
			if (entry.kind() == LogEntry.Kind.COMMAND) {
				this.digest = this.digest * 1_000_003 + ByteBuffer.wrap(entry.payload()).getLong();
			}
			return this.digest;
		}

		@Override
		public byte[] snapshot() {
			return ByteBuffer.allocate(PADDING_BYTES).putLong(this.digest).array();
		}

		@Override
		public void restore(byte[] state) {
			this.digest = ByteBuffer.wrap(state).getLong();
		}

		@Override
		public long digest() {
			return this.digest;
		}

	}

}
