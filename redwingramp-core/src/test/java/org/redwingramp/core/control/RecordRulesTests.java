package org.redwingramp.core.control;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.CommandResult.RecordAccepted;
import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost, reordered and reverted revisions of records.
 */
class RecordRulesTests {

	private final StateDriver driver = new StateDriver();

	private static Command withdraw(RecordKind kind, String name, long version) {
		return new Command.WithdrawRecord(kind, name, version, "operator");
	}

	private RefusalCode domain(long version, DomainState state) throws InvariantViolatedException {
		return this.driver.refusal(Fixtures.domain("zona-mixco", version, state));
	}

	@Test
	void shouldAcceptAnyFirstVersionAndThenOnlyTheNext() throws InvariantViolatedException {
		assertThat(domain(7, DomainState.IN)).isNull();
		assertThat(domain(9, DomainState.OUT)).isEqualTo(RefusalCode.VERSION_GAP);
		assertThat(domain(6, DomainState.OUT)).isEqualTo(RefusalCode.VERSION_OUTDATED);
		assertThat(domain(8, DomainState.OUT)).isNull();
		assertThat(this.driver.state.view().domainTakesWork("zona-mixco")).isFalse();
	}

	@Test
	void shouldRefuseAnEqualVersionWithDifferentContentAndNameTheDigestInForce() throws InvariantViolatedException {
		domain(1, DomainState.OUT);
		CommandResult result = this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.IN));
		assertThat(result).isInstanceOfSatisfying(CommandResult.Refused.class, (refused) -> {
			assertThat(refused.code()).isEqualTo(RefusalCode.VERSION_CONFLICT);
			assertThat(refused.detail()).contains(DomainState.OUT.name());
		});
		assertThat(this.driver.state.view().domainTakesWork("zona-mixco")).isFalse();
	}

	@Test
	void shouldReturnTheSameAcceptanceForEqualContentResent() throws InvariantViolatedException {
		RecordAccepted first = (RecordAccepted) this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		this.driver.apply(Fixtures.domain("zona-capital", 1, DomainState.IN));
		long version = this.driver.state.view().version();
		assertThat(this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT)))
			.isEqualTo(new RecordAccepted(first.revision(), first.viewVersion(), true));
		assertThat(this.driver.state.view().version()).isEqualTo(version);
	}

	@Test
	void shouldRefuseToWithdrawAVersionThatWasRevised() throws InvariantViolatedException {
		domain(1, DomainState.OUT);
		domain(2, DomainState.IN);
		assertThat(this.driver.refusal(withdraw(RecordKind.DOMAIN, "zona-mixco", 1)))
			.isEqualTo(RefusalCode.VERSION_OUTDATED);
		assertThat(this.driver.refusal(withdraw(RecordKind.DOMAIN, "zona-mixco", 3)))
			.isEqualTo(RefusalCode.VERSION_GAP);
		assertThat(this.driver.refusal(withdraw(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		assertThat(domain(3, DomainState.OUT)).isNull();
	}

	@Test
	void shouldRefuseALateResendAfterAWithdrawalAlsoAfterARestore() throws InvariantViolatedException {
		domain(1, DomainState.OUT);
		domain(2, DomainState.OUT);
		assertThat(this.driver.refusal(withdraw(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		assertThat(this.driver.refusal(withdraw(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		this.driver.state.restore(this.driver.state.image());
		assertThat(domain(2, DomainState.OUT)).isEqualTo(RefusalCode.WITHDRAWN);
		assertThat(domain(1, DomainState.OUT)).isEqualTo(RefusalCode.WITHDRAWN);
		assertThat(this.driver.state.view().domainTakesWork("zona-mixco")).isTrue();
		assertThat(domain(3, DomainState.OUT)).isNull();
	}

	@Test
	void shouldRefuseAnotherNumberOfSlices() throws InvariantViolatedException {
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 8)));
		assertThat(this.driver.refusal(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 9), Fixtures.KEYED, 2, "other")))
			.isEqualTo(RefusalCode.INCONSISTENT);
		assertThat(this.driver.state.view().shards(Fixtures.KEYED)).hasSize(8);
	}

	@Test
	void shouldRefusePinsOfUnknownServicesAndKeysPinnedTwice() throws InvariantViolatedException {
		RecordBody.Pin first = new RecordBody.Pin("p1", Fixtures.KEYED, "t1", List.of("wok-1"));
		assertThat(this.driver.refusal(Fixtures.submit(first, "p1", 1, "d"))).isEqualTo(RefusalCode.INCONSISTENT);
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 8)));
		assertThat(this.driver.refusal(Fixtures.submit(first, "p1", 1, "d"))).isNull();
		RecordBody.Pin second = new RecordBody.Pin("p2", Fixtures.KEYED, "t2", List.of("wok-1"));
		assertThat(this.driver.refusal(Fixtures.submit(second, "p2", 1, "d"))).isEqualTo(RefusalCode.INCONSISTENT);
		assertThat(this.driver.refusal(withdraw(RecordKind.SERVICE, Fixtures.KEYED, 1)))
			.isEqualTo(RefusalCode.INCONSISTENT);
	}

	@Test
	void shouldNeverReuseAFenceOrAGateEpochOfAWithdrawnService() throws InvariantViolatedException {
		this.driver.start(Fixtures.keyed(Fixtures.KEYED, 4), "t1");
		this.driver.own("t1", 0, 1);
		long fence = this.driver.slice(1).fence();
		long epoch = this.driver.target("t1").gateEpoch();
		assertThat(this.driver.refusal(withdraw(RecordKind.SERVICE, Fixtures.KEYED, 1))).isNull();
		assertThat(this.driver.state.view().target("t1")).isEmpty();
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 4), Fixtures.KEYED, 2, "d"));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		this.driver.own("t1", 0);
		assertThat(this.driver.slice(0).fence()).isGreaterThan(fence);
		assertThat(this.driver.target("t1").gateEpoch()).isGreaterThan(epoch);
	}

}
