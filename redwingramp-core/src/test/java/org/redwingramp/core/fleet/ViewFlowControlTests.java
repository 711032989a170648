package org.redwingramp.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against views that queue up for an entry instance which receives them more
 * slowly than they are created.
 */
class ViewFlowControlTests {

	private static final long MS = 1_000_000;

	private static final int LINK_BYTES_PER_MS = 254;

	private final ViewFlowControl flowControl = new ViewFlowControl(0, 0);

	/**
	 * Guards against a configuration change that is delayed by more than one send window
	 * on a link of 2 Mbit/s, while keys move in each tick of the controller because a hot
	 * range is spread over targets.
	 */
	@Test
	void shouldSendAConfigurationOverASlowLinkWithoutDelayWhileKeysMoveInEachTick() {
		long linkFreeAt = 0;
		long configDoneAt = 0;
		int arrived = 0;
		long[] doneAt = new long[4000];
		ViewState state = state(1, 1, 0);
		for (int ms = 0; ms < 4000 && configDoneAt == 0; ms++) {
			int config = (ms < 3000) ? 1 : 2;
			state = (ms % 50 == 0) ? state(ms + 1, config, ms) : state;
			if (this.flowControl.ready(state.configVersion(), ms * MS) && this.flowControl.lastSentState() != state) {
				boolean document = this.flowControl.lacksConfig(state.configVersion());
				FleetView view = state.changesSince(this.flowControl.lastSentState(), 1,
						document ? Optional.of(new byte[10_000]) : Optional.empty(), 0);
				linkFreeAt = Math.max(ms, linkFreeAt) + 1 + view.estimatedBytes() / LINK_BYTES_PER_MS;
				configDoneAt = (state.configVersion() == 2) ? linkFreeAt : 0;
				this.flowControl.sent(state, view.estimatedBytes(), ms * MS);
				doneAt[(int) state.sequence()] = linkFreeAt;
			}
			for (; arrived < ms && doneAt[arrived] <= ms; arrived++) {
				this.flowControl
					.acknowledged((doneAt[arrived] > 0) ? arrived : this.flowControl.acknowledgedSequence());
			}
		}
		assertThat(configDoneAt).isBetween(3000L, 3400L);
	}

	@Test
	void shouldWaitForAnAcknowledgementOnceTheWindowIsFull() {
		this.flowControl.sent(state(1, 1, 0), ViewFlowControl.WINDOW_BYTES, 0);
		assertThat(this.flowControl.ready(2, 5000 * MS)).isFalse();
		assertThat(this.flowControl.oldestUnacknowledgedAgeNanos(5000 * MS)).isEqualTo(5000 * MS);
		this.flowControl.acknowledged(1);
		assertThat(this.flowControl.ready(2, 5000 * MS)).isTrue();
		assertThat(this.flowControl.oldestUnacknowledgedAgeNanos(5000 * MS)).isZero();
	}

	@Test
	void shouldNotDelayAConfigurationByTheMinimumInterval() {
		this.flowControl.sent(state(1, 1, 0), 100, 0);
		assertThat(this.flowControl.ready(1, 10 * MS)).isFalse();
		assertThat(this.flowControl.ready(2, 10 * MS)).isTrue();
		assertThat(this.flowControl.ready(1, 40 * MS)).isTrue();
	}

	/**
	 * Guards against sending a full view of a large fleet when only a few ranges changed.
	 */
	@Test
	void shouldSendOnlyTheChangesInsteadOfAFullView() {
		ViewState former = state(1, 1, 0);
		ViewState next = state(2, 1, 7);
		FleetView view = next.changesSince(former, 1, Optional.empty(), 0);
		assertThat(view.full()).isFalse();
		assertThat(view.targets()).isEmpty();
		assertThat(view.keys().get("s")).hasSize(2);
		assertThat(next.changesSince(ViewState.EMPTY, 1, Optional.empty(), 0).targets()).hasSize(200);
		assertThat(next.differs(former)).isTrue();
		assertThat(state(3, 1, 7).differs(next)).isFalse();
	}

	@Test
	void shouldSendRemovedTargetsAndServicesWithoutKeys() {
		ViewState former = state(1, 1, 0);
		ViewState next = ViewState.of(2, 1, 1, List.of(), Map.of(), List.of(), 0);
		FleetView view = next.changesSince(former, 1, Optional.empty(), 0);
		assertThat(view.removedTargets()).hasSize(200);
		assertThat(view.keys().get("s")).containsExactly(new ViewRange(256, 65_535, ""));
	}

	/** Guards against a new view for each heartbeat of a cold target. */
	@Test
	void shouldNotDifferWhenOnlyTheRemainingColdTimeDecreases() {
		assertThat(cold(2, 2000, 1000).differs(cold(1, 3000, 0))).isFalse();
		assertThat(cold(2, 2600, 1000).differs(cold(1, 3000, 0))).isTrue();
		assertThat(cold(2, 0, 1000).differs(cold(1, 3000, 0))).isTrue();
	}

	private static ViewState cold(long sequence, long coldLeft, long now) {
		return ViewState.of(sequence, 1, 1, List.of(new ViewTarget("t", "s", "h:1", "d", 1, true, coldLeft, 0, false)),
				Map.of(), List.of(), now);
	}

	// 200 targets with the same number of keys; one range is being moved.
	private static ViewState state(long sequence, long config, int moving) {
		List<ViewTarget> targets = IntStream.range(0, 200)
			.mapToObj((i) -> new ViewTarget("t-" + i, "s", "10.0.0." + i + ":80", "d", 3, true, 0, 0, false))
			.toList();
		List<ViewRange> ranges = IntStream.range(0, 256)
			.mapToObj((i) -> new ViewRange(i * 256, i * 256 + 255, (i == moving % 256) ? "" : "t-" + i % 200))
			.toList();
		return ViewState.of(sequence, config, 1, targets, Map.of("s", ranges), List.of(), 0);
	}

}
