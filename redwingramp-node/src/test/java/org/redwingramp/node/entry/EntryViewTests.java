package org.redwingramp.node.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.fleet.FleetView.ViewRange;
import org.redwingramp.core.fleet.FleetView.ViewTarget;
import org.redwingramp.core.traffic.RequestKind;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.WeightedService;
import org.redwingramp.node.entry.EntryView.Outcome;
import org.redwingramp.node.loop.EventLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry instance that replaces its view by an older one, and against
 * incremental updates that are applied to another view than the one they were built from.
 */
class EntryViewTests {

	private static final long SECOND = 1_000_000_000L;

	private EntryView view;

	@BeforeEach
	void applyInitialView() throws Exception {
		this.view = new EntryView(new EventLoop((failure) -> {
		}), new TestDialect());
		assertThat(apply(full(5, 10, 7, "a"))).isEqualTo(Outcome.TAKEN);
	}

	@Test
	void shouldNotApplyAViewOfAnOlderTerm() throws Exception {
		assertThat(apply(full(4, 99, 7, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	@Test
	void shouldNotApplyAViewWithAnOlderConfiguration() throws Exception {
		assertThat(apply(full(6, 1, 6, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.configVersion()).isEqualTo(7);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	/** Guards against a view that arrives late on a link that has since been replaced. */
	@Test
	void shouldNotApplyAnOlderViewOfTheSameTerm() throws Exception {
		assertThat(apply(full(5, 9, 7, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(apply(changes(5, 10, 9, "b"))).isEqualTo(Outcome.OUTDATED);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
	}

	@Test
	void shouldApplyChangesOnlyOnTopOfTheirBaseView() throws Exception {
		assertThat(apply(changes(5, 13, 12, "b"))).isEqualTo(Outcome.INCOMPLETE);
		assertThat(apply(changes(6, 13, 10, "b"))).isEqualTo(Outcome.INCOMPLETE);
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
		assertThat(apply(changes(5, 12, 10, "b"))).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.owner("s", 1)).isEqualTo("b");
		assertThat(this.view.owner("s", 500)).isEqualTo("a");
	}

	@Test
	void shouldRemoveWhatAFullViewDoesNotContain() throws Exception {
		FleetView next = new FleetView(6, 1, 0, 7, 1, Optional.empty(), List.of(target("c")), List.of(),
				Map.of("s", List.of(new ViewRange(0, 9, "c"))), List.of());
		assertThat(apply(next)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.target("a")).isEmpty();
		assertThat(this.view.targets("s")).hasSize(1);
		assertThat(this.view.owner("s", 9)).isEqualTo("c");
		assertThat(this.view.owner("s", 10)).isEmpty();
	}

	/**
	 * Guards against requests of a route that run on the services of another route, which
	 * has the same name and another host.
	 */
	@Test
	void shouldSplitRequestsByTheWeightsOfTheirOwnRoute() {
		Route first = split("a.example", "x", "y");
		Route second = split("b.example", "v", "w");
		assertThat(List.of(this.view.selectService(first), this.view.selectService(first)))
			.containsExactlyInAnyOrder("x", "y");
		assertThat(List.of(this.view.selectService(second), this.view.selectService(second)))
			.containsExactlyInAnyOrder("v", "w");
	}

	private static Route split(String host, String service, String otherService) {
		return new Route("r", host, "/", RequestKind.IDEMPOTENT, 1000, 1000, 0, 1,
				List.of(new WeightedService(service, 1), new WeightedService(otherService, 1)));
	}

	/**
	 * Guards against one target with an address that can't be used, after which an entry
	 * instance applies no view at all.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:99999", "127.0.0.1", "host:80", "300.0.0.1:80", "" })
	void shouldApplyAViewWithoutATargetWhoseAddressIsUnusable(String address) throws Exception {
		FleetView next = new FleetView(6, 1, 0, 7, 1, Optional.empty(),
				List.of(target("a"), new ViewTarget("odd", "s", address, "d", 3, true, 0, 0, false)), List.of(),
				Map.of("s", List.of(new ViewRange(0, 65_535, "a"))), List.of());
		assertThat(apply(next)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.target("odd")).isEmpty();
		assertThat(this.view.owner("s", 1)).isEqualTo("a");
		assertThat(this.view.skipped()).containsExactly(
				new SkippedElement(SkippedElement.Kind.TARGET, "odd", "no connection can be opened to " + address));
	}

	/**
	 * Guards against one element of a view that can't be used, after which an entry
	 * instance applies neither configurations nor drains nor owners of keys.
	 */
	@ParameterizedTest
	@MethodSource("unusableElements")
	void shouldApplyTheRestOfAViewAndLaterViewsAfterAnUnusableElement(ViewTarget target, ViewRange range)
			throws Exception {
		ViewTarget draining = new ViewTarget("b", "s", "127.0.0.1:1", "d", 3, false, 0, 0, false);
		FleetView full = new FleetView(6, 1, 0, 8, 1, Optional.of(new byte[] { 8 }),
				List.of(target, target("a"), draining), List.of(),
				Map.of("odd", List.of(range), "s", List.of(range, new ViewRange(0, 99, "a"))), List.of());
		assertThat(apply(full)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.configVersion()).isEqualTo(8);
		assertThat(this.view.targets("s")).extracting(EntryTarget::name).containsExactly("a");
		assertThat(this.view.owner("s", 99)).isEqualTo("a");
		FleetView difference = new FleetView(6, 2, 1, 9, 1, Optional.of(new byte[] { 9 }), List.of(target, target("c")),
				List.of("a"), Map.of("s", List.of(range, new ViewRange(0, 9, "c"))), List.of());
		assertThat(apply(difference)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.configVersion()).isEqualTo(9);
		assertThat(this.view.targets("s")).extracting(EntryTarget::name).containsExactly("c");
		assertThat(this.view.owner("s", 9)).isEqualTo("c");
		assertThat(this.view.owner("s", 10)).isEqualTo("a");
	}

	/**
	 * Guards against a configuration that this build can't read, after which an entry
	 * instance goes on sending requests to targets that drain and to former owners.
	 */
	@Test
	void shouldFollowTargetsAndOwnersAfterAnUnreadableConfiguration() throws Exception {
		ViewTarget draining = new ViewTarget("b", "s", "127.0.0.1:1", "d", 3, false, 0, 0, false);
		FleetView unreadable = new FleetView(5, 11, 10, 8, 1, Optional.of(TestDialect.UNREADABLE_DOCUMENT),
				List.of(draining), List.of(), Map.of("s", List.of(new ViewRange(0, 99, "b"))), List.of());
		assertThat(apply(unreadable)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.configVersion()).isEqualTo(7);
		assertThat(this.view.targets("s")).extracting(EntryTarget::name).containsExactly("a");
		assertThat(this.view.owner("s", 99)).isEqualTo("b");
		FleetView later = new FleetView(5, 12, 11, 8, 1, Optional.empty(), List.of(), List.of("b"),
				Map.of("s", List.of(new ViewRange(0, 9, "a"))), List.of());
		assertThat(apply(later)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.target("b")).isEmpty();
		assertThat(this.view.owner("s", 9)).isEqualTo("a");
		FleetView readable = new FleetView(5, 13, 12, 9, 1, Optional.of(new byte[] { 9 }), List.of(), List.of(),
				Map.of(), List.of());
		assertThat(apply(readable)).isEqualTo(Outcome.TAKEN);
		assertThat(this.view.configVersion()).isEqualTo(9);
	}

	static Stream<Arguments> unusableElements() {
		ViewTarget target = new ViewTarget("d", "s", "127.0.0.1:1", "d", 3, false, 0, 0, false);
		ViewRange range = new ViewRange(200, 300, "a");
		return Stream.of(Arguments.of(new ViewTarget("odd", null, "127.0.0.1:1", "d", 3, true, 0, 0, false), range),
				Arguments.of(new ViewTarget("odd", "s", null, "d", 3, true, 0, 0, false), range),
				Arguments.of(new ViewTarget(null, "s", "127.0.0.1:1", "d", 3, true, 0, 0, false), range),
				Arguments.of(new ViewTarget("odd", "s", "127.0.0.1:1", null, 3, true, 0, 0, false), range),
				Arguments.of(target, new ViewRange(300, 200, "a")), Arguments.of(target, new ViewRange(-9, -1, "a")),
				Arguments.of(target, new ViewRange(200, 99_999, "a")),
				Arguments.of(target, new ViewRange(200, 300, null)));
	}

	/**
	 * Guards against a cold target that is flooded because a new leader, which has
	 * received no heartbeat of it, replaces what the former one stated.
	 */
	@Test
	void shouldKeepTheColdPeriodThatAFormerLeaderStated() throws Exception {
		apply(viewOf(6, cold("a", 1, true, 3000, false), cold("b", 1, true, 0, false)));
		apply(viewOf(7, cold("a", 1, true, 6000, true), cold("b", 1, true, 6000, true)));
		assertThat(leftMillis("a")).isEqualTo(3000);
		assertThat(leftMillis("b")).isZero();
	}

	/**
	 * Guards against requests to a target that wants a pause, and said so before the view
	 * said that it had started again; and against one that is avoided because its former
	 * incarnation left.
	 */
	@Test
	void shouldKeepThePauseButNotTheDepartureOfATargetThatStartsAgain() throws Exception {
		apply(viewOf(6, cold("a", 1, true, 0, false)));
		this.view.target("a").orElseThrow().availability().pauses(5000, 0);
		this.view.target("a").orElseThrow().availability().leaves(0);
		apply(viewOf(7, cold("a", 2, true, 0, false)));
		assertThat(this.view.target("a").orElseThrow().availability().pauseLeftMillis(0)).isEqualTo(5000);
		assertThat(this.view.target("a").orElseThrow().availability().leaving()).isFalse();
	}

	/**
	 * Guards against a cold target that is flooded because this instance didn't get the
	 * last view of the former leader, and knows that the target was warm.
	 */
	@Test
	void shouldAssumeThatATargetIsColdOfWhichThatIsRecorded() throws Exception {
		apply(viewOf(6, cold("a", 1, true, 3000, false), cold("b", 1, true, 0, false)));
		apply(viewOf(7, recordedCold("a"), recordedCold("b")));
		assertThat(leftMillis("a")).isEqualTo(3000);
		assertThat(leftMillis("b")).isEqualTo(6000);
	}

	/**
	 * Guards against a cold target that is flooded because a new leader receives a
	 * heartbeat that was sent before those that the former one received.
	 */
	@Test
	void shouldNotShortenTheColdPeriodThatAFormerLeaderStated() throws Exception {
		apply(viewOf(6, cold("a", 1, true, 3000, false), cold("b", 1, true, 3000, false)));
		apply(viewOf(7, cold("a", 1, true, 0, false), cold("b", 1, true, 5000, false)));
		assertThat(leftMillis("a")).isEqualTo(3000);
		assertThat(leftMillis("b")).isEqualTo(5000);
	}

	/**
	 * Guards against a target of which no leader has stated anything that counts as warm:
	 * a new one, a new incarnation, and one that was out of service.
	 */
	@ParameterizedTest
	@CsvSource({ "c, 1, true", "a, 2, true", "a, 1, false" })
	void shouldAssumeThatATargetIsColdOfWhichNothingIsKnown(String name, long born, boolean usable) throws Exception {
		apply(viewOf(6, cold("a", 1, usable, 0, false)));
		apply(viewOf(7, cold(name, born, true, 6000, true)));
		assertThat(leftMillis(name)).isEqualTo(6000);
		apply(viewOf(8, cold(name, born, true, 6000, true)));
		assertThat(leftMillis(name)).isEqualTo(6000);
		apply(viewOf(9, cold(name, born, true, 0, false)));
		assertThat(leftMillis(name)).isZero();
	}

	/**
	 * Guards against a target that became cold while this instance heard no leader for
	 * long, and is taken for warm by what was stated before.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 0", "60, 6000" })
	void shouldNotRelyOnAStatementAfterALongTimeWithoutALeader(long silentSeconds, long leftMillis) throws Exception {
		apply(viewOf(6, cold("a", 1, true, 0, false)));
		this.view.leaderHeard(silentSeconds * 1_000_000_000);
		apply(viewOf(7, cold("a", 1, true, 6000, true)));
		assertThat(leftMillis("a")).isEqualTo(leftMillis);
	}

	/**
	 * Guards against a limit that too few instances share: a leader that has just begun
	 * knows only those that have contacted it, and may be lost again.
	 */
	@Test
	void shouldShareLimitsAmongTheInstancesOfTheFormerLeaderAtFirst() throws Exception {
		this.view.apply(sharedBy(6, 1, 88), 0);
		this.view.apply(sharedBy(7, 1, 12), SECOND);
		assertThat(this.view.limitSharingInstances()).isEqualTo(88);
		this.view.apply(sharedBy(7, 2, 30), 2 * SECOND);
		assertThat(this.view.limitSharingInstances()).isEqualTo(88);
		this.view.apply(sharedBy(8, 1, 90), 3 * SECOND);
		assertThat(this.view.limitSharingInstances()).isEqualTo(90);
		this.view.apply(sharedBy(8, 2, 40), 20 * SECOND);
		assertThat(this.view.limitSharingInstances()).isEqualTo(40);
	}

	private static FleetView sharedBy(long term, long sequence, int instances) {
		return new FleetView(term, sequence, 0, 7, instances, Optional.empty(), List.of(), List.of(), Map.of(),
				List.of());
	}

	private long leftMillis(String target) {
		return this.view.target(target).orElseThrow().coldPeriod().leftMillis(0);
	}

	private static FleetView viewOf(long term, ViewTarget... targets) {
		return new FleetView(term, 1, 0, 7, 1, Optional.empty(), List.of(targets), List.of(), Map.of(), List.of());
	}

	private static ViewTarget recordedCold(String name) {
		return new ViewTarget(name, "s", "127.0.0.1:1", "d", 3, true, 6000, 1, true, true);
	}

	private static ViewTarget cold(String name, long born, boolean usable, long leftMillis, boolean assumed) {
		return new ViewTarget(name, "s", "127.0.0.1:1", "d", 3, usable, leftMillis, born, assumed);
	}

	private Outcome apply(FleetView update) throws Exception {
		return this.view.apply(update, 0);
	}

	private static FleetView full(long term, long sequence, long config, String owner) {
		return new FleetView(term, sequence, 0, config, 1, Optional.of(new byte[] { (byte) config }),
				List.of(target("a"), target("b")), List.of(), Map.of("s", List.of(new ViewRange(0, 65_535, owner))),
				List.of());
	}

	private static FleetView changes(long term, long sequence, long base, String owner) {
		return new FleetView(term, sequence, base, 7, 1, Optional.empty(), List.of(), List.of(),
				Map.of("s", List.of(new ViewRange(0, 99, owner))), List.of());
	}

	private static ViewTarget target(String name) {
		return new ViewTarget(name, "s", "127.0.0.1:1", "d", 3, true, 0, 0, false);
	}

}
