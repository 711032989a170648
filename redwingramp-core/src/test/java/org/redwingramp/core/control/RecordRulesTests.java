package org.redwingramp.core.control;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.CommandResult.RecordAccepted;
import org.redwingramp.core.model.DomainState;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RecordKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against record versions that are lost, applied out of order or reverted.
 */
class RecordRulesTests {

	private final StateDriver driver = new StateDriver();

	private static Command withdrawal(RecordKind kind, String name, long version) {
		return new Command.WithdrawRecord(kind, name, version, "operator");
	}

	private RefusalCode submitDomain(long version, DomainState state) throws InvariantViolatedException {
		return this.driver.refusalOf(Fixtures.domain("zona-mixco", version, state));
	}

	@Test
	void shouldAcceptAnyFirstVersionAndThenOnlyTheNext() throws InvariantViolatedException {
		assertThat(submitDomain(7, DomainState.IN)).isNull();
		assertThat(submitDomain(9, DomainState.OUT)).isEqualTo(RefusalCode.VERSION_GAP);
		assertThat(submitDomain(6, DomainState.OUT)).isEqualTo(RefusalCode.VERSION_OUTDATED);
		assertThat(submitDomain(8, DomainState.OUT)).isNull();
		assertThat(this.driver.state.view().domainAcceptsWork("zona-mixco")).isFalse();
	}

	@Test
	void shouldRefuseAnEqualVersionWithDifferentContentAndNameTheDigestInForce() throws InvariantViolatedException {
		submitDomain(1, DomainState.OUT);
		CommandResult result = this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.IN));
		assertThat(result).isInstanceOfSatisfying(CommandResult.Refused.class, (refused) -> {
			assertThat(refused.code()).isEqualTo(RefusalCode.VERSION_CONFLICT);
			assertThat(refused.detail()).contains(DomainState.OUT.name());
		});
		assertThat(this.driver.state.view().domainAcceptsWork("zona-mixco")).isFalse();
	}

	@Test
	void shouldReturnTheSameAcceptanceWhenEqualContentIsSubmittedAgain() throws InvariantViolatedException {
		RecordAccepted first = (RecordAccepted) this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT));
		this.driver.apply(Fixtures.domain("zona-capital", 1, DomainState.IN));
		long version = this.driver.state.view().version();
		assertThat(this.driver.apply(Fixtures.domain("zona-mixco", 1, DomainState.OUT)))
			.isEqualTo(new RecordAccepted(first.revision(), first.viewVersion(), true));
		assertThat(this.driver.state.view().version()).isEqualTo(version);
	}

	@Test
	void shouldRefuseToWithdrawAVersionThatIsNotInForce() throws InvariantViolatedException {
		submitDomain(1, DomainState.OUT);
		submitDomain(2, DomainState.IN);
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.DOMAIN, "zona-mixco", 1)))
			.isEqualTo(RefusalCode.VERSION_OUTDATED);
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.DOMAIN, "zona-mixco", 3)))
			.isEqualTo(RefusalCode.VERSION_GAP);
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		assertThat(submitDomain(3, DomainState.OUT)).isNull();
	}

	@Test
	void shouldRefuseADelayedResubmissionAfterAWithdrawalAndARestore() throws InvariantViolatedException {
		submitDomain(1, DomainState.OUT);
		submitDomain(2, DomainState.OUT);
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.DOMAIN, "zona-mixco", 2))).isNull();
		this.driver.state.restore(this.driver.state.snapshot());
		assertThat(submitDomain(2, DomainState.OUT)).isEqualTo(RefusalCode.WITHDRAWN);
		assertThat(submitDomain(1, DomainState.OUT)).isEqualTo(RefusalCode.WITHDRAWN);
		assertThat(this.driver.state.view().domainAcceptsWork("zona-mixco")).isTrue();
		assertThat(submitDomain(3, DomainState.OUT)).isNull();
	}

	@Test
	void shouldRefuseToChangeTheNumberOfSlices() throws InvariantViolatedException {
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 8)));
		assertThat(
				this.driver.refusalOf(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 9), Fixtures.KEYED, 2, "other")))
			.isEqualTo(RefusalCode.INCONSISTENT);
		assertThat(this.driver.state.view().shards(Fixtures.KEYED)).hasSize(8);
	}

	@Test
	void shouldRefusePinsOfUnknownServicesAndKeysPinnedTwice() throws InvariantViolatedException {
		RecordBody.Pin first = new RecordBody.Pin("p1", Fixtures.KEYED, "t1", List.of("wok-1"));
		assertThat(this.driver.refusalOf(Fixtures.submit(first, "p1", 1, "d"))).isEqualTo(RefusalCode.INCONSISTENT);
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 8)));
		assertThat(this.driver.refusalOf(Fixtures.submit(first, "p1", 1, "d"))).isNull();
		RecordBody.Pin second = new RecordBody.Pin("p2", Fixtures.KEYED, "t2", List.of("wok-1"));
		assertThat(this.driver.refusalOf(Fixtures.submit(second, "p2", 1, "d"))).isEqualTo(RefusalCode.INCONSISTENT);
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.SERVICE, Fixtures.KEYED, 1)))
			.isEqualTo(RefusalCode.INCONSISTENT);
	}

	@Test
	void shouldNeverReuseAFenceOrAGateEpochOfAWithdrawnService() throws InvariantViolatedException {
		this.driver.setUp(Fixtures.keyed(Fixtures.KEYED, 4), "t1");
		this.driver.assignSlices("t1", 0, 1);
		long fence = this.driver.slice(1).fence();
		long epoch = this.driver.target("t1").gateEpoch();
		assertThat(this.driver.refusalOf(withdrawal(RecordKind.SERVICE, Fixtures.KEYED, 1))).isNull();
		assertThat(this.driver.state.view().target("t1")).isEmpty();
		this.driver.apply(Fixtures.submit(Fixtures.keyed(Fixtures.KEYED, 4), Fixtures.KEYED, 2, "d"));
		this.driver.apply(new Command.AnnounceTarget(Fixtures.target("t1")));
		this.driver.assignGate("t1", "e1");
		this.driver.assignSlices("t1", 0);
		assertThat(this.driver.slice(0).fence()).isGreaterThan(fence);
		assertThat(this.driver.target("t1").gateEpoch()).isGreaterThan(epoch);
	}

}
