package org.redwingramp.daemon.internal.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.daemon.internal.gate.ControlFixture;

import static org.assertj.core.api.Assertions.assertThat;

class EntrySessionTests {

	private static final ShardId SLICE = ShardId.slice(ControlFixture.SERVICE, 0);

	private static final ShardId HOT_KEY = ShardId.hotKey(ControlFixture.SERVICE, 0, "wok");

	private final ControlFixture control = new ControlFixture("127.0.0.1:9");

	private final FakeAgent agent = new FakeAgent(this.control.view());

	private final EntrySession session = new EntrySession(this.agent, System::nanoTime);

	/**
	 * Guards against sending requests for a hot key to the owner of its slice after the
	 * key was split out into a shard of its own.
	 */
	@Test
	void shouldNotDispatchUnderTheSliceOnceTheKeyWasSplitOut() {
		assertThat(mayDispatch(SLICE)).isTrue();
		this.control.apply(new Command.SplitHotKey(HOT_KEY));
		this.agent.setView(this.control.view());
		this.session.handleReply(reply());
		assertThat(mayDispatch(SLICE)).isFalse();
		assertThat(mayDispatch(HOT_KEY)).isTrue();
	}

	/**
	 * Guards against an entry instance that keeps routing by a state that violates an
	 * invariant.
	 */
	@Test
	void shouldDispatchNothingAfterAnInvariantWasViolated() {
		this.agent.simulateInvariantViolation();
		this.session.handleReply(reply());
		assertThat(this.session.mayRoute()).isFalse();
		assertThat(mayDispatch(SLICE)).isFalse();
	}

	private boolean mayDispatch(ShardId shard) {
		return this.session.mayDispatch(ControlFixture.TARGET, "wok", shard, 1);
	}

	private static EntryHeartbeatReply reply() {
		return new EntryHeartbeatReply(1, 1, 1, Optional.empty(), List.of());
	}

}
