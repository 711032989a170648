package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.routing.TargetGate.GateResult;

import static org.assertj.core.api.Assertions.assertThat;

class ModelTargetTests {

	private static final int SLOTS = 3;

	private final VirtualTime time = new VirtualTime();

	private final ModelTarget target = new ModelTarget(this.time, new SplittableRandom(1), SLOTS);

	private final List<GateResult> results = new ArrayList<>();

	/** Guards against a model in which a cold target handles full load. */
	@Test
	void shouldFailUnderFullLoadWhileCold() {
		serve(0, SLOTS);
		assertThat(this.results).isEqualTo(Collections.nCopies(SLOTS, GateResult.ANSWERED));
		this.target.makeCold();
		serve(10, SLOTS);
		assertThat(this.results).contains(GateResult.FAILED);
	}

	/** Guards against a model in which a cold target never warms up. */
	@Test
	void shouldWarmUpWithOneRequestAtATime() {
		this.target.makeCold();
		LongStream.range(0, 2 * ModelTarget.RESPONSES_TO_WARM_UP).forEach((id) -> serve(id, 1));
		serve(1000, SLOTS);
		assertThat(this.results).doesNotContain(GateResult.FAILED);
	}

	/** Guards against responses to cancelled requests and from a stopped target. */
	@Test
	void shouldNotRespondAfterACancellationOrAStop() {
		this.target.serve(1, this.results::add);
		this.target.cancel(1);
		this.target.serve(2, this.results::add);
		this.target.setStopped(true);
		this.target.serve(3, this.results::add);
		this.time.run(this.time.now() + VirtualTime.SECONDS);
		assertThat(this.results).isEmpty();
		assertThat(this.target.running()).isZero();
	}

	private void serve(long firstId, int count) {
		LongStream.range(firstId, firstId + count).forEach((id) -> this.target.serve(id, this.results::add));
		this.time.run(this.time.now() + 10 * VirtualTime.SECONDS);
	}

}
