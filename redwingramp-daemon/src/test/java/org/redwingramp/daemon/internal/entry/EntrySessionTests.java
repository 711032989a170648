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
	 * Guards against a key that is served by its slice's owner after it has moved away.
	 */
	@Test
	void shouldNotSendByTheSliceOnceTheKeyWasSplitOut() {
		assertThat(mayDispatch(SLICE)).isTrue();
		this.control.apply(new Command.SplitHotKey(HOT_KEY));
		this.agent.nextView(this.control.view());
		this.session.reply(reply());
		assertThat(mayDispatch(SLICE)).isFalse();
		assertThat(mayDispatch(HOT_KEY)).isTrue();
	}

	/**
	 * Guards against an entry instance that goes on with a state that contradicts itself.
	 */
	@Test
	void shouldSendNothingAfterAnInvariantWasViolated() {
		this.agent.violate();
		this.session.reply(reply());
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
