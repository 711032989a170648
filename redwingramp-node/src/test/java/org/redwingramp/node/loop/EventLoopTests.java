package org.redwingramp.node.loop;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against one failing task that stops others. */
@Timeout(20)
class EventLoopTests {

	private static final long PERIOD_NANOS = 5_000_000;

	private final List<Throwable> failures = new CopyOnWriteArrayList<>();

	private EventLoop loop;

	@BeforeEach
	void start() throws IOException {
		this.loop = new EventLoop((failure) -> {
			this.failures.add(failure);
			throw new IllegalStateException("the failure handler failed too");
		});
	}

	@AfterEach
	void stop() {
		this.loop.stop();
	}

	/** Guards against periodic work, such as heartbeats, that ends with one exception. */
	@Test
	void shouldRepeatATaskThatFails() throws Exception {
		CountDownLatch runs = new CountDownLatch(3);
		this.loop.repeat(PERIOD_NANOS, () -> {
			runs.countDown();
			throw new IllegalStateException("test");
		});
		LoopThread.start(this.loop);
		assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
		assertThat(this.failures).hasSizeGreaterThanOrEqualTo(2);
	}

	/** Guards against tasks of the same iteration that are lost. */
	@Test
	void shouldRunTheOtherTasksOfAnIterationAfterOneFails() throws Exception {
		CountDownLatch others = new CountDownLatch(3);
		CountDownLatch iterations = new CountDownLatch(3);
		this.loop.afterEachIteration(() -> {
			iterations.countDown();
			throw new IllegalStateException("test");
		});
		this.loop.post(EventLoopTests::fail);
		this.loop.post(others::countDown);
		this.loop.schedule(0, EventLoopTests::fail);
		this.loop.schedule(0, others::countDown);
		this.loop.schedule(PERIOD_NANOS, others::countDown);
		// On a busy machine all of these run in one iteration.
		this.loop.repeat(PERIOD_NANOS, () -> {
		});
		LoopThread.start(this.loop);
		assertThat(others.await(5, TimeUnit.SECONDS)).isTrue();
		assertThat(iterations.await(5, TimeUnit.SECONDS)).isTrue();
	}

	/** Guards against a loop that ends with an error that isn't an exception. */
	@Test
	void shouldGoOnAfterAnError() throws Exception {
		CountDownLatch others = new CountDownLatch(1);
		this.loop.post(() -> {
			throw new StackOverflowError("test");
		});
		this.loop.post(others::countDown);
		LoopThread.start(this.loop);
		assertThat(others.await(5, TimeUnit.SECONDS)).isTrue();
	}

	private static void fail() {
		throw new IllegalStateException("test");
	}

}
