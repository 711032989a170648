package org.redwingramp.core.control;

import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.RecordBody;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two owners of a key, and against shards without service, while parts
 * fail.
 */
class ClusterTests {

	private static final long SECOND = ClusterHarness.SECOND;

	private static final RecordBody.Service SERVICE = Fixtures.keyed(Fixtures.KEYED, 32);

	private static final String[] DOMAINS = { "zona-capital", "zona-mixco", "zona-villanueva" };

	private final ClusterHarness cluster = new ClusterHarness(1);

	@BeforeEach
	void start() throws InvariantViolatedException {
		this.cluster.apply(Fixtures.submit(SERVICE));
		IntStream.range(0, 3).forEach((i) -> this.cluster.addEntry("e" + i, DOMAINS[i]));
		for (int i = 0; i < 6; i++) {
			this.cluster.addTarget(Fixtures.target("t" + i, Fixtures.KEYED, DOMAINS[i % 3], "boot-1"));
		}
		this.cluster.runUntil(3 * SECOND, () -> this.cluster.settled(SERVICE));
	}

	@Test
	void shouldServeAllShardsWithGatesSpreadEvenly() throws InvariantViolatedException {
		this.cluster.run(10 * SECOND);
		assertThat(this.cluster.settled(SERVICE)).isTrue();
		assertThat(this.cluster.view().entries()).allSatisfy(
				(entry) -> assertThat(this.cluster.view().targetsOfGate(entry.spec().name())).hasSizeBetween(1, 3));
	}

	@Test
	void shouldServeAgainWithinASecondOfATargetsLoss() throws InvariantViolatedException {
		this.cluster.targets.get("t1").freeze();
		this.cluster.step();
		long nanos = this.cluster.runUntil(SECOND, () -> !lost("t1"));

		nanos += this.cluster.runUntil(SECOND, () -> this.cluster.settled(SERVICE));

		assertThat(nanos).isLessThan(SECOND);
	}

	private boolean lost(String target) {
		return this.cluster.view().target(target).orElseThrow().phase() != TargetPhase.LOST;
	}

	@Test
	void shouldMoveGatesAfterTheLossOfAnEntry() throws InvariantViolatedException {
		this.cluster.entries.get("e1").toggleRunning();
		this.cluster.runUntil(SECOND, () -> this.cluster.view().entry("e1").isEmpty());
		long nanos = this.cluster.runUntil(SECOND, () -> this.cluster.settled(SERVICE));

	}

	@Test
	void shouldServeAgainWhenGateAndTargetAreLostAtOnce() throws InvariantViolatedException {
		String gate = this.cluster.view().target("t1").orElseThrow().gate();
		this.cluster.entries.get(gate).toggleRunning();
		this.cluster.targets.get("t1").freeze();
		this.cluster.step();
		long nanos = this.cluster.runUntil(2 * SECOND, () -> !lost("t1") && this.cluster.settled(SERVICE));

	}

	@Test
	void shouldEvacuateADomainWithinThreeSeconds() throws InvariantViolatedException {
		this.cluster.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		long nanos = this.cluster.runUntil(3 * SECOND,
				() -> this.cluster.view().shardsOf("t1").isEmpty() && this.cluster.view().shardsOf("t4").isEmpty()
						&& this.cluster.settled(SERVICE) && this.cluster.view().targetsOfGate("e1").isEmpty());

	}

}
