package org.redwingramp.bench.measure;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.placement.PlacementPolicies;

import static org.assertj.core.api.Assertions.assertThat;

class ShardMoverTests {

	private static final Deployment DEPLOYMENT = Deployment.PIEDMONT;

	/** The bound of property P4 of docs/design.md. */
	private static final long MAX_NEW_WORK_NANOS = 3 * VirtualTime.SECONDS;

	private static final long EVENT_NANOS = VirtualTime.SECONDS;

	private final ServiceModel model = new ServiceModel(DEPLOYMENT, DEPLOYMENT.shardedService(), Safeguards.ALL, 3, 0);

	private final ShardMover mover = new ShardMover(this.model, DEPLOYMENT, PlacementPolicies.balanced(),
			ShardMover.CHURN_BUDGET, new SplittableRandom(3));

	/** Guards against new requests to targets that are out of service. */
	@Test
	void shouldSendNoNewRequestsToTargetsOutOfService() {
		List<Integer> leaving = List.of(0, 4, 8);
		this.mover.start();
		this.model.time().at(EVENT_NANOS, () -> this.mover.takeOutOfService(leaving));
		RunResult run = this.model.run(DEPLOYMENT.capacity(DEPLOYMENT.shardedService()) / 4, 6 * VirtualTime.SECONDS);
		assertThat(leaving).allMatch((target) -> this.model.shards().slicesOf(target).isEmpty())
			.allMatch((target) -> this.model.targets().get(target).lastStart() < EVENT_NANOS + MAX_NEW_WORK_NANOS);
		assertThat(run.answeredShare()).isGreaterThan(0.999);
		assertThat(this.model.maxRunning()).isLessThanOrEqualTo(DEPLOYMENT.slots());
	}

	/** Guards against slices that have no owner after the loss of their target. */
	@Test
	void shouldAssignTheSlicesOfALostTarget() {
		this.mover.start();
		this.model.time().at(EVENT_NANOS, () -> this.mover.loseTargets(List.of(2)));
		this.model.run(DEPLOYMENT.capacity(DEPLOYMENT.shardedService()) / 4, 4 * VirtualTime.SECONDS);
		assertThat(IntStream.range(0, ShardMap.SLICES)).noneMatch((slice) -> this.model.shards().blocked(slice))
			.noneMatch((slice) -> this.model.shards().owner(slice) == 2);
		assertThat(this.model.shards().maxUnavailableMillis()).isBetween(1.0, 1000.0);
	}

}
