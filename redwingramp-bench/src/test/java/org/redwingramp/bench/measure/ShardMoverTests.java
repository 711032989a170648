package org.redwingramp.bench.measure;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.placement.PlacementPolicies;

import static org.assertj.core.api.Assertions.assertThat;

class ShardMoverTests {

	private static final Deployment DEPLOYMENT = Deployment.PIEDMONT;

	/** The bound of property P4 of the design. */
	private static final long MOST_NEW_WORK = 3 * VirtualTime.SECONDS;

	private static final long LEAVE = VirtualTime.SECONDS;

	private final ServiceModel model = new ServiceModel(DEPLOYMENT, DEPLOYMENT.keyed(), Safeguards.ALL, 3, 0);

	private final ShardMover mover = new ShardMover(this.model, DEPLOYMENT, PlacementPolicies.balanced(),
			ShardMover.CHURN_BUDGET, new SplittableRandom(3));

	/** Guards against new work for targets that are out of service. */
	@Test
	void shouldSendNoNewWorkToTargetsThatLeft() {
		List<Integer> leaving = List.of(0, 4, 8);
		this.mover.start();
		this.model.time().at(LEAVE, () -> this.mover.leave(leaving));
		RunResult run = this.model.run(DEPLOYMENT.capacity(DEPLOYMENT.keyed()) / 4, 6 * VirtualTime.SECONDS);
		assertThat(leaving).allMatch((target) -> this.model.shards().slicesOf(target).isEmpty())
			.allMatch((target) -> this.model.targets().get(target).lastStart() < LEAVE + MOST_NEW_WORK);
		assertThat(run.answeredShare()).isGreaterThan(0.999);
		assertThat(this.model.mostRunning()).isLessThanOrEqualTo(DEPLOYMENT.slots());
	}

	/** Guards against keys that stay without an owner after the loss of their target. */
	@Test
	void shouldAssignTheSlicesOfALostTarget() {
		this.mover.start();
		this.model.time().at(LEAVE, () -> this.mover.lose(List.of(2)));
		this.model.run(DEPLOYMENT.capacity(DEPLOYMENT.keyed()) / 4, 4 * VirtualTime.SECONDS);
		assertThat(IntStream.range(0, ShardMap.SLICES)).noneMatch((slice) -> this.model.shards().blocked(slice))
			.noneMatch((slice) -> this.model.shards().owner(slice) == 2);
		assertThat(this.model.shards().longestUnavailableMillis()).isBetween(1.0, 1000.0);
	}

}
