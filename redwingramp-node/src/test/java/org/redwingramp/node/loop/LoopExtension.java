package org.redwingramp.node.loop;

import java.io.IOException;

import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Runs an event loop in a thread of its own during each test. Failures in the loop are
 * printed. Not thread safe.
 */
public final class LoopExtension implements BeforeEachCallback, AfterEachCallback {

	private EventLoop loop;

	/**
	 * Returns the loop of the running test.
	 * @return the loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	@Override
	public void beforeEach(ExtensionContext context) throws IOException {
		this.loop = new EventLoop((failure) -> failure.printStackTrace());
		LoopThread.start(this.loop);
	}

	@Override
	public void afterEach(ExtensionContext context) {
		this.loop.stop();
	}

}
