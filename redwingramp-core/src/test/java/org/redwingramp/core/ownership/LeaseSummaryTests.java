package org.redwingramp.core.ownership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.ownership.RangeLease.Phase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against metrics that hide grants which may be applied late, or keys that nobody
 * serves.
 */
class LeaseSummaryTests {

	private static final long MS = 1_000_000;

	private static final long START = 50_000 * MS;

	private static final Owner OWNER = new Owner("t-1", 7);

	private static final Owner NEXT_OWNER = new Owner("t-2", 7);

	private final LeaseTable table = new LeaseTable(LeaseTiming.DEFAULT);

	private final KeyMap keys = new KeyMap(List.of(new OwnedRange(KeyRange.ALL, OWNER, 1)));

	/**
	 * Guards against an age that begins anew with each repeated grant, although the first
	 * one may still be applied.
	 */
	@Test
	void shouldCountUnansweredGrantsFromTheFirst() {
		RangeLease lease = newLease();
		grant(lease, START, GrantOutcome.UNKNOWN);
		grant(lease, START + 700 * MS, GrantOutcome.NOT_SENT);
		grant(lease, START + 1400 * MS, GrantOutcome.UNKNOWN);
		LeaseSummary summary = this.table.summary(START + 2000 * MS);
		assertThat(summary.leases()).isEqualTo(1);
		assertThat(summary.unanswered()).isEqualTo(1);
		assertThat(summary.oldestUnansweredNanos()).isEqualTo(2000 * MS);
		grant(lease, START + 2100 * MS, GrantOutcome.CONFIRMED);
		assertThat(this.table.summary(START + 3000 * MS).unanswered()).isZero();
		assertThat(this.table.summary(START + 3000 * MS).oldestUnansweredNanos()).isZero();
	}

	/**
	 * Guards against an unanswered grant that is forgotten when its range is split or
	 * gets a higher fence.
	 */
	@Test
	void shouldKeepUnansweredGrantsOfSplitAndRaisedRanges() {
		RangeLease lease = newLease();
		grant(lease, START, GrantOutcome.UNKNOWN);
		this.table.split(lease, new KeyRange(100, 199));
		assertThat(this.table.summary(START + MS).unanswered()).isEqualTo(3);
		this.keys.assign(new OwnedRange(KeyRange.ALL, OWNER, 2));
		this.table.applyAssignment("s", this.keys, START + 2 * MS);
		assertThat(this.table.summary(START + 3 * MS).unanswered()).isEqualTo(1);
		assertThat(this.table.summary(START + 3 * MS).oldestUnansweredNanos()).isEqualTo(3 * MS);
	}

	/** Guards against a confirmed release after which a refused grant still counts. */
	@Test
	void shouldNotCountGrantsThatAnOwnerRefusesAfterItsRelease() {
		RangeLease lease = newLease();
		grant(lease, START, GrantOutcome.UNKNOWN);
		this.table.releaseSent(lease, 2, START + 500 * MS);
		assertThat(this.table.summary(START + 600 * MS).unanswered()).isEqualTo(1);
		this.table.releaseReturned(lease, true, Optional.empty(), START + 600 * MS);
		assertThat(this.table.summary(START + 700 * MS).unanswered()).isZero();
	}

	/** Guards against keys without an owner whose phase can't be told. */
	@Test
	void shouldCountLeasesThatDoNotServeByPhase() {
		RangeLease lease = newLease();
		assertThat(notServing()).containsExactly(Map.entry(Phase.GRANT_PENDING, 1L));
		grant(lease, START, GrantOutcome.CONFIRMED);
		assertThat(notServing()).isEmpty();
		RangeLease moved = this.table.split(lease, new KeyRange(100, 199));
		this.table.releaseSent(moved, 2, START);
		assertThat(notServing()).containsExactly(Map.entry(Phase.RELEASING, 1L));
		this.table.releaseReturned(moved, true, Optional.empty(), START);
		assertThat(notServing()).containsExactly(Map.entry(Phase.RELEASED, 1L));
	}

	/**
	 * Guards against the time of a move that begins with the last of several releases, or
	 * is lost since the next owner gets another range than was released.
	 */
	@Test
	void shouldMeasureAMoveFromTheFirstReleaseToTheGrant() {
		RangeLease lease = newLease();
		grant(lease, START, GrantOutcome.CONFIRMED);
		RangeLease released = this.table.split(lease, new KeyRange(100, 199));
		this.table.releaseSent(released, 2, START + 100 * MS);
		this.table.releaseReturned(released, false, Optional.empty(), START + 300 * MS);
		this.table.releaseSent(released, 2, START + 400 * MS);
		this.table.releaseReturned(released, true, Optional.empty(), START + 500 * MS);
		this.keys.assign(new OwnedRange(new KeyRange(100, 149), NEXT_OWNER, 3));
		this.table.applyAssignment("s", this.keys, START + 600 * MS);
		RangeLease next = this.table.find("s", new KeyRange(100, 149)).orElseThrow();
		assertThat(this.table.endMove(next)).contains(START + 100 * MS);
		assertThat(this.table.endMove(next)).as("the same move again").isEmpty();
	}

	/** Guards against a move that is counted although its keys were lost, not moved. */
	@Test
	void shouldNotMeasureAMoveOfKeysThatNobodyReleased() {
		RangeLease lease = newLease();
		grant(lease, START, GrantOutcome.CONFIRMED);
		this.keys.assign(new OwnedRange(KeyRange.ALL, NEXT_OWNER, 3));
		this.table.applyAssignment("s", this.keys, START + 5000 * MS);
		assertThat(this.table.endMove(this.table.find("s", KeyRange.ALL).orElseThrow())).isEmpty();
	}

	/** Guards against a leader that takes former grants for ended too early. */
	@Test
	void shouldTellUntilWhenGrantsOfAFormerLeaderMayHold() {
		assertThat(this.table.lastEndNanos(START)).isEqualTo(START);
		this.table.adopt("s", this.keys, true, START);
		long end = LeaseTiming.DEFAULT.endOf(START + LeaseTiming.MAX_ARRIVAL_NANOS);
		assertThat(this.table.lastEndNanos(START)).isEqualTo(end);
		this.table.quarantine("other", List.of(new KeyRange(0, 9)), START + MS);
		assertThat(this.table.lastEndNanos(START + MS)).isEqualTo(end + MS);
	}

	private Map<Phase, Long> notServing() {
		return this.table.summary(START).notServing();
	}

	private RangeLease newLease() {
		this.table.applyAssignment("s", this.keys, START);
		return this.table.find("s", KeyRange.ALL).orElseThrow();
	}

	private void grant(RangeLease lease, long now, GrantOutcome outcome) {
		this.table.grantSent(lease, now);
		this.table.grantReturned(lease, outcome, now + 400 * MS);
	}

}
