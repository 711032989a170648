package org.redwingramp.node.events;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes structured log events, one JSON object per line. Lines pass through a bounded
 * queue to a writer thread, so that logging never waits for the output. Invariants: at
 * most {@link #LINES_PER_SECOND} lines per second are accepted, of which the last fifth
 * is reserved for important events; dropped lines are counted and reported by a
 * {@link NodeEvent#LINES_DROPPED} event. Thread safe.
 */
public final class EventWriter implements AutoCloseable {

	/**
	 * The maximum number of lines per second. An entry instance under the highest load of
	 * the known sites writes about 100.
	 */
	public static final int LINES_PER_SECOND = 400;

	private static final int RESERVED_LINES_PER_SECOND = LINES_PER_SECOND / 5;

	private static final int QUEUE_CAPACITY_LINES = 2048;

	/**
	 * Lines are written in batches, since each wake-up of the writer thread costs CPU
	 * time.
	 */
	private static final long BATCH_MILLIS = 100;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int MAX_VALUE_CHARS = 256;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private final NodeMetrics metrics = new NodeMetrics();

	private final PrintStream output;

	private final String instance;

	private final Thread writerThread;

	private long secondStartNanos = System.nanoTime();

	private int linesThisSecond;

	private volatile boolean closed;

	/**
	 * Creates a writer and starts its thread.
	 * @param output the stream that lines are written to
	 * @param instance the name of this instance
	 */
	public EventWriter(OutputStream output, String instance) {
		this.output = new PrintStream(output, false, StandardCharsets.UTF_8);
		this.instance = instance;
		this.writerThread = new Thread(this::writeBatches, "log");
		this.writerThread.setDaemon(true);
		this.writerThread.start();
	}

	/**
	 * Logs an event.
	 * @param event the event
	 * @param details alternating field names and values
	 */
	public void log(NodeEvent event, Object... details) {
		this.metrics.count("events", event.name());
		if (!tryAcquireLine(event)) {
			this.droppedLines.incrementAndGet();
			return;
		}
		if (!this.queue.offer(formatLine(event, details))) {
			this.droppedLines.incrementAndGet();
		}
	}

	/**
	 * Returns the metrics of this process. They count each event, even if its line is
	 * dropped.
	 * @return the metrics
	 */
	public NodeMetrics metrics() {
		return this.metrics;
	}

	@Override
	public void close() {
		this.closed = true;
		this.writerThread.interrupt();
		try {
			this.writerThread.join(BATCH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		flushQueue();
	}

	private synchronized boolean tryAcquireLine(NodeEvent event) {
		long now = System.nanoTime();
		if (now - this.secondStartNanos >= NANOS_PER_SECOND) {
			this.secondStartNanos = now;
			this.linesThisSecond = 0;
		}
		int budget = event.important() ? LINES_PER_SECOND : LINES_PER_SECOND - RESERVED_LINES_PER_SECOND;
		if (this.linesThisSecond >= budget) {
			return false;
		}
		this.linesThisSecond++;
		return true;
	}

	private void writeBatches() {
		while (!this.closed) {
			try {
				this.output.println(this.queue.take());
				Thread.sleep(BATCH_MILLIS);
				flushQueue();
			}
			catch (InterruptedException ex) {
				// Interrupted by close(), which writes the remaining lines.
				return;
			}
		}
	}

	private synchronized void flushQueue() {
		StringBuilder batch = new StringBuilder();
		String line = this.queue.poll();
		while (line != null) {
			batch.append(line).append('\n');
			line = this.queue.poll();
		}
		long droppedCount = this.droppedLines.getAndSet(0);
		if (droppedCount > 0) {
			batch.append(formatLine(NodeEvent.LINES_DROPPED, "lines", droppedCount)).append('\n');
		}
		this.output.print(batch);
		this.output.flush();
	}

	String formatLine(NodeEvent event, Object... details) {
		StringBuilder text = new StringBuilder(160).append("{\"event\":\"")
			.append(event.code())
			.append("\",\"name\":\"")
			.append(event.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
			.append("\",\"at\":")
			.append(System.currentTimeMillis())
			.append(",\"instance\":");
		appendQuoted(text, this.instance);
		for (int i = 0; i + 1 < details.length; i += 2) {
			text.append(",\"").append(details[i]).append("\":");
			appendValue(text, details[i + 1]);
		}
		return text.append('}').toString();
	}

	private static void appendValue(StringBuilder text, Object value) {
		if (value instanceof Double number) {
			text.append(Math.round(number * 1000) / 1000.0);
		}
		else if (value instanceof Number || value instanceof Boolean) {
			text.append(value);
		}
		else {
			appendQuoted(text, String.valueOf(value));
		}
	}

	private static void appendQuoted(StringBuilder text, String value) {
		text.append('"');
		int length = Math.min(value.length(), MAX_VALUE_CHARS);
		for (int i = 0; i < length; i++) {
			char character = value.charAt(i);
			if (character == '"' || character == '\\') {
				text.append('\\').append(character);
			}
			else {
				text.append(Character.isISOControl(character) ? '?' : character);
			}
		}
		text.append('"');
	}

}
