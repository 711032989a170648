package org.redwingramp.daemon.internal.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

import com.lmax.disruptor.LiteBlockingWaitStrategy;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/**
 * Writes log lines on a dedicated thread, fed by a ring buffer, so that no request waits
 * while the line of another is written. Thread safe.
 *
 * <p>
 * Invariants: lines keep the order in which they were published; a publisher waits while
 * the ring buffer is full, so no line is dropped; {@link #close} writes the lines
 * published before, as far as the close timeout allows.
 */
final class RingLogHandler extends Handler {

	private static final int RING_SIZE = 4_096;

	private static final long CLOSE_TIMEOUT_SECONDS = 5;

	private final Disruptor<Slot> disruptor = new Disruptor<>(Slot::new, RING_SIZE, RingLogHandler::createThread,
			ProducerType.MULTI, new LiteBlockingWaitStrategy());

	private final OutputStream out;

	// The output must be buffered; it is flushed once no further lines are pending.
	RingLogHandler(OutputStream out, Formatter formatter) {
		this.out = out;
		setFormatter(formatter);
		this.disruptor.handleEventsWith((slot, sequence, endOfBatch) -> write(slot, endOfBatch));
		this.disruptor.start();
	}

	private static Thread createThread(Runnable task) {
		Thread thread = new Thread(task, "log");
		thread.setDaemon(true);
		return thread;
	}

	@Override
	public void publish(LogRecord record) {
		if (isLoggable(record)) {
			this.disruptor.publishEvent((slot, sequence) -> slot.record = record);
		}
	}

	private void write(Slot slot, boolean endOfBatch) {
		LogRecord record = slot.record;
		slot.record = null;
		try {
			this.out.write(getFormatter().format(record).getBytes(StandardCharsets.UTF_8));
			if (endOfBatch) {
				this.out.flush();
			}
		}
		catch (IOException ex) {
			reportError("failed to write a log line", ex, ErrorManager.WRITE_FAILURE);
		}
	}

	@Override
	public void flush() {
		// Does nothing, since the writing thread flushes.
	}

	@Override
	public void close() {
		try {
			this.disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (TimeoutException ex) {
			reportError("log lines were lost: the ring buffer was not written before the close timeout", ex,
					ErrorManager.CLOSE_FAILURE);
		}
	}

	/**
	 * A slot of the ring buffer. Not thread safe; the ring buffer hands it from the
	 * publisher to the writing thread.
	 */
	private static final class Slot {

		private LogRecord record;

	}

}
