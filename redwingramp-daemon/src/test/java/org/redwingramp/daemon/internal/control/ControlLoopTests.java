package org.redwingramp.daemon.internal.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.model.EntrySpec;
import org.redwingramp.daemon.internal.control.ControlRole.OpenStore;

import static org.assertj.core.api.Assertions.assertThat;

class ControlLoopTests {

	private static final int SNAPSHOT_EVERY = 20;

	private final List<String> events = new CopyOnWriteArrayList<>();

	private final FakeStore store = new FakeStore(new ReplicaId("a", 1), this.events);

	private final ControlPeers peers = new ControlPeers("a", Map.of("a", "127.0.0.1:1"));

	private ControlLoop loop;

	private Thread thread;

	@BeforeEach
	void startLoop() throws Exception {
		this.loop = ControlRole.create(new OpenStore(this.store, this.store.load()), this.peers,
				(name, frame) -> this.events.add("sent"), ConsensusTiming.DEFAULT, ControlTiming.DEFAULT,
				SNAPSHOT_EVERY, System::nanoTime);
		this.thread = new Thread(this.loop, "control-test");
		this.thread.start();
	}

	@AfterEach
	void stopLoop() throws Exception {
		this.loop.stop();
		this.thread.join(TimeUnit.SECONDS.toMillis(5));
	}

	@Test
	void shouldCommitACommand() throws Exception {
		ControlReply reply = propose("entry-1");
		assertThat(reply).isInstanceOfSatisfying(ControlReply.Committed.class,
				(committed) -> assertThat(committed.result()).isInstanceOf(CommandResult.Applied.class));
	}

	/** Guards against replying that a command is committed before it is on disk. */
	@Test
	void shouldPersistBeforeReplying() throws Exception {
		propose("entry-1");
		this.events.clear();
		ControlReply reply = propose("entry-2");
		this.events.add("replied");
		assertThat(reply).isInstanceOf(ControlReply.Committed.class);
		assertThat(this.events.indexOf("persisted")).isNotNegative().isLessThan(this.events.indexOf("replied"));
	}

	/** Guards against a replica that keeps accepting calls after its storage failed. */
	@Test
	void shouldStopWhenTheStorageFails() throws Exception {
		propose("entry-1");
		this.store.failPersist();
		CompletableFuture<ControlReply> reply = this.loop.submitCall(registerEntry("entry-2"));
		assertThat(reply.get(5, TimeUnit.SECONDS)).isNotInstanceOf(ControlReply.Committed.class);
		this.thread.join(TimeUnit.SECONDS.toMillis(5));
		assertThat(this.loop.healthy()).isFalse();
		assertThat(this.loop.submitCall(registerEntry("entry-3")).get(5, TimeUnit.SECONDS))
			.isInstanceOf(ControlReply.NotLeader.class);
	}

	/** Guards against a snapshot that blocks or stops the control loop. */
	@Test
	void shouldKeepCommittingAfterSnapshots() throws Exception {
		for (int i = 0; i < SNAPSHOT_EVERY * 3; i++) {
			assertThat(propose("entry-" + i)).isInstanceOf(ControlReply.Committed.class);
		}
		assertThat(this.loop.healthy()).isTrue();
	}

	private ControlReply propose(String entry) throws Exception {
		for (int i = 0; i < 200; i++) {
			ControlReply reply = this.loop.submitCall(registerEntry(entry)).get(5, TimeUnit.SECONDS);
			if (!(reply instanceof ControlReply.NotLeader)) {
				return reply;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		throw new AssertionError("the replica did not become the leader");
	}

	private static ControlCall registerEntry(String entry) {
		return new ControlCall.Propose(
				new Command.RegisterEntry(new EntrySpec(entry, "127.0.0.1:1", "zona-capital", "boot")));
	}

}
