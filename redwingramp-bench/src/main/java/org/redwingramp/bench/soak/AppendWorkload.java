package org.redwingramp.bench.soak;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.redwingramp.core.consensus.LogEntry;

/**
 * Appends rising numbers to a state machine that folds them into a digest. It is the
 * simplest state machine whose state depends on the order of the entries. Not thread
 * safe.
 */
final class AppendWorkload implements Workload {

	private static final long INTERVAL_MILLIS = 10;

	/** Larger than one chunk of a snapshot transfer, so that a transfer has several. */
	private static final int SNAPSHOT_PADDING_BYTES = 600 * 1024;

	/** Large enough that the entries for one replica need several append messages. */
	private static final int LARGE_COMMAND_BYTES = 300 * 1024;

	private final SimulatedCluster cluster;

	private final Set<Long> acknowledged = new HashSet<>();

	private long pausedUntilNanos;

	private long lastNumber;

	private long firstAfterFaults;

	AppendWorkload(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	@Override
	public StateMachine newStateMachine() {
		return new OrderDigest();
	}

	@Override
	public void start() {
		this.cluster.simulation().every(INTERVAL_MILLIS, this::proposeUnlessPaused);
	}

	@Override
	public void injectFault() {
		proposeBurst();
	}

	@Override
	public void endFaults() {
		this.firstAfterFaults = this.lastNumber + 1;
	}

	@Override
	public void afterEachEvent() {
		// ReplicaChecks compares the digests of the replicas, which covers the order.
	}

	@Override
	public String recoveryProblem() {
		return this.acknowledged.stream().anyMatch((number) -> number >= this.firstAfterFaults) ? ""
				: "no append was acknowledged since the faults ended";
	}

	@Override
	public Map<String, Long> operationCounts() {
		return Map.of("appends acknowledged", (long) this.acknowledged.size());
	}

	private void proposeBurst() {
		this.cluster.trace().fault("burst of proposals");
		for (int i = 0; i < 150; i++) {
			propose();
		}
	}

	// Without pauses, a replica that misses messages always has an outdated log. Its log
	// alone would then prevent its election, and the other safeguards of elections
	// wouldn't be exercised.
	private void proposeUnlessPaused() {
		Simulation simulation = this.cluster.simulation();
		if (simulation.now() < this.pausedUntilNanos) {
			return;
		}
		if (simulation.chance(0.01)) {
			this.pausedUntilNanos = simulation.now() + simulation.between(200, 1500);
		}
		propose();
	}

	private void propose() {
		ReplicaProcess process = this.cluster.proposalReceiver();
		long number = ++this.lastNumber;
		int bound = this.cluster.simulation().chance(0.01) ? LARGE_COMMAND_BYTES : 2000;
		byte[] command = ByteBuffer.allocate(Long.BYTES + this.cluster.simulation().random().nextInt(bound))
			.putLong(number)
			.array();
		long clockMillis = this.cluster.simulation().nowMillis() + this.cluster.simulation().random().nextInt(2000);
		process.run(() -> process.propose(clockMillis, command, (status, result) -> {
			if (status == ProposalCallback.Status.APPLIED) {
				this.acknowledged.add(number);
			}
		}));
	}

	/**
	 * Folds the numbers into a digest that depends on their order. Not thread safe.
	 */
	private static final class OrderDigest implements StateMachine {

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
			return ByteBuffer.allocate(SNAPSHOT_PADDING_BYTES).putLong(this.digest).array();
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
