package org.redwingramp.node.control;

import java.io.ByteArrayOutputStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.redwingramp.core.fleet.FleetCommand;
import org.redwingramp.node.events.EventWriter;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.storage.ReplicaStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a replica that neither works nor ends.
 */
@Timeout(60)
class ReplicaHostTests {

	private static final String REPLICA = "127.0.0.11";

	/** Long enough for a replica to form its group, which takes a disk write. */
	private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final ByteArrayOutputStream log = new ByteArrayOutputStream();

	private final EventWriter events = new EventWriter(this.log, REPLICA);

	private final List<Throwable> uncaught = new ArrayList<>();

	@TempDir
	private Path folder;

	/**
	 * Guards against a replica that waits for good for a disk write that ended with an
	 * unexpected failure.
	 */
	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, OutOfMemoryError.class })
	void shouldStopAfterAnUnexpectedFailureOfADiskWrite(Class<? extends Throwable> failure) throws Exception {
		EventLoop loop = new EventLoop((uncaught) -> uncaught.printStackTrace());
		Throwable thrown = failure.getConstructor(String.class).newInstance("no write possible");
		ReplicaHost replica = new ReplicaHost(loop, settings(), this.events, new StallingDisk(REPLICA),
				failingStore(thrown));
		replica.start((command, result) -> {
		});
		loop.schedule(RUN_NANOS, loop::stop);
		loop.run();
		replica.close();
		this.events.close();
		assertThat(this.log.toString(StandardCharsets.UTF_8)).contains("\"action\":\"stop the process\"")
			.contains("no write possible");
	}

	/**
	 * Guards against a replica that leaves out committed entries after an unexpected
	 * failure and applies later ones.
	 */
	@Test
	void shouldStopIfTheCommittedEntriesOfABatchAreNotAllApplied() throws Exception {
		EventLoop loop = new EventLoop((uncaught) -> this.uncaught.add(uncaught));
		ReplicaHost replica = new ReplicaHost(loop, settings(), this.events, new StallingDisk(REPLICA));
		List<FleetCommand> applied = new ArrayList<>();
		replica.start((command, result) -> {
			applied.add(command);
			throw new OutOfMemoryError("no memory for the first command");
		});
		loop.repeat(TimeUnit.MILLISECONDS.toNanos(100), () -> {
			if (replica.leads()) {
				replica.propose(new FleetCommand.SetDomainOut("a", true), (result) -> {
				});
			}
		});
		loop.schedule(RUN_NANOS, loop::stop);
		loop.run();
		replica.close();
		this.events.close();
		assertThat(applied).hasSize(1);
		assertThat(this.log.toString(StandardCharsets.UTF_8)).contains("\"action\":\"stop the process\"")
			.contains("no memory for the first command");
		assertThat(this.uncaught).isEmpty();
	}

	private ControlSettings settings() {
		return new ControlSettings(REPLICA, REPLICA, new InetSocketAddress(REPLICA, 1), 1, List.of(REPLICA),
				Set.of("a"), true, 1, this.folder, System.nanoTime());
	}

	// Returns a store whose writes fail.
	private ReplicaStore failingStore(Throwable failure) throws Exception {
		ReplicaStore store = ReplicaStore.open(this.folder, REPLICA, new Random(1));
		return (ReplicaStore) Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] { ReplicaStore.class },
				(proxy, method, arguments) -> {
					if (method.getName().equals("persist")) {
						throw failure;
					}
					try {
						return method.invoke(store, arguments);
					}
					catch (InvocationTargetException ex) {
						throw ex.getCause();
					}
				});
	}

}
