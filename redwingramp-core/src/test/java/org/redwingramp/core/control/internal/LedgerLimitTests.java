package org.redwingramp.core.control.internal;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.Fixtures;
import org.redwingramp.core.control.InvariantViolatedException;
import org.redwingramp.core.control.RefusalCode;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.model.ShardId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a ledger that grows without limit, and against one that drops recorded
 * requests to make room for new ones, so that they could run twice.
 */
class LedgerLimitTests {

	private final ReplicatedState state = ReplicatedState.create("cluster-1", 2);

	private long index;

	private CommandResult apply(Command command) throws InvariantViolatedException {
		this.index++;
		return this.state.apply(this.index, 1_000, command);
	}

	private CommandResult begin(String key, long epoch) throws InvariantViolatedException {
		return apply(new Command.BeginRequest(new RequestIdentity(Fixtures.PLAIN, key, 1_000), "d", "t1", "e1", epoch,
				ShardId.slice("", 0), 0, 100));
	}

	@Test
	void shouldRefuseNewRequestsAtTheLimitAndKeepRecordedOnes() throws InvariantViolatedException {
		apply(Fixtures.submit(Fixtures.plain(Fixtures.PLAIN)));
		apply(new Command.RegisterEntry(Fixtures.entry("e1", "d")));
		apply(new Command.AnnounceTarget(Fixtures.target("t1", Fixtures.PLAIN, "d", "boot")));
		long epoch = this.state.view().target("t1").orElseThrow().gateEpoch();
		apply(new Command.AssignGates(java.util.List.of(new Command.GateAssignment("t1", epoch, "e1"))));
		begin("k1", epoch + 1);
		long second = this.index + 1;
		begin("k2", epoch + 1);
		assertThat(begin("k3", epoch + 1)).isInstanceOfSatisfying(CommandResult.Refused.class,
				(refused) -> assertThat(refused.code()).isEqualTo(RefusalCode.LIMIT_REACHED));
		assertThat(begin("k1", epoch + 1)).isInstanceOf(CommandResult.Begun.class);
		apply(new Command.AbortRequest(new RequestIdentity(Fixtures.PLAIN, "k2", 1_000), second));
		assertThat(begin("k3", epoch + 1)).isInstanceOf(CommandResult.Begun.class);
	}

}
