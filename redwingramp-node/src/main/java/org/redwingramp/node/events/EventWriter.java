package org.redwingramp.node.events;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object a line. Lines pass a bounded ring to a thread that writes them,
 * so logging never blocks. Invariants: at most {@link #LINES_PER_SECOND} lines a second
 * are accepted, of which the last fifth is kept for important events; what is dropped is
 * counted and reported. Thread safe.
 */
public final class EventWriter implements AutoCloseable {

	/**
	 * The budget of lines a second. A front under the heaviest load of the known sites
	 * writes about a hundred.
	 */
	public static final int LINES_PER_SECOND = 400;

	private static final int IMPORTANT_RESERVE = LINES_PER_SECOND / 5;

	private static final int RING_LINES = 2048;

	/** Lines are written in batches, since each wake-up of the writer costs time. */
	private static final long BATCH_MILLIS = 100;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final int MAX_VALUE_LENGTH = 256;

	private final BlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final NodeMetrics metrics = new NodeMetrics();

	private final PrintStream output;

	private final String instance;

	private final Thread writer;

	private long secondStarted = System.nanoTime();

	private int linesThisSecond;

	private volatile boolean closed;

	/**
	 * Creates a writer and starts its thread.
	 * @param output where lines go
	 * @param instance the name of this instance
	 */
	public EventWriter(OutputStream output, String instance) {
		this.output = new PrintStream(output, false, StandardCharsets.UTF_8);
		this.instance = instance;
		this.writer = new Thread(this::write, "log");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param details names and values in turn
	 */
	public void log(NodeEvent event, Object... details) {
		this.metrics.count("events", event.name());
		if (!admit(event)) {
			this.dropped.incrementAndGet();
			return;
		}
		if (!this.ring.offer(line(event, details))) {
			this.dropped.incrementAndGet();
		}
	}

	/**
	 * Returns the metrics of this process. Each event is counted there, also when its
	 * line is dropped.
	 * @return the metrics
	 */
	public NodeMetrics metrics() {
		return this.metrics;
	}

	@Override
	public void close() {
		this.closed = true;
		this.writer.interrupt();
		try {
			this.writer.join(BATCH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		drain();
	}

	private synchronized boolean admit(NodeEvent event) {
		long now = System.nanoTime();
		if (now - this.secondStarted >= NANOS_PER_SECOND) {
			this.secondStarted = now;
			this.linesThisSecond = 0;
		}
		int budget = event.important() ? LINES_PER_SECOND : LINES_PER_SECOND - IMPORTANT_RESERVE;
		if (this.linesThisSecond >= budget) {
			return false;
		}
		this.linesThisSecond++;
		return true;
	}

	private void write() {
		while (!this.closed) {
			try {
				this.output.println(this.ring.take());
				Thread.sleep(BATCH_MILLIS);
				drain();
			}
			catch (InterruptedException ex) {
				// The writer is closed, which writes what is left.
				return;
			}
		}
	}

	private synchronized void drain() {
		StringBuilder batch = new StringBuilder();
		String line = this.ring.poll();
		while (line != null) {
			batch.append(line).append('\n');
			line = this.ring.poll();
		}
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			batch.append(line(NodeEvent.LINES_DROPPED, "lines", lost)).append('\n');
		}
		this.output.print(batch);
		this.output.flush();
	}

	String line(NodeEvent event, Object... details) {
		StringBuilder text = new StringBuilder(160).append("{\"event\":\"")
			.append(event.code())
			.append("\",\"name\":\"")
			.append(event.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'))
			.append("\",\"at\":")
			.append(System.currentTimeMillis())
			.append(",\"instance\":");
		quote(text, this.instance);
		for (int i = 0; i + 1 < details.length; i += 2) {
			text.append(",\"").append(details[i]).append("\":");
			value(text, details[i + 1]);
		}
		return text.append('}').toString();
	}

	private static void value(StringBuilder text, Object value) {
		if (value instanceof Double number) {
			text.append(Math.round(number * 1000) / 1000.0);
		}
		else if (value instanceof Number || value instanceof Boolean) {
			text.append(value);
		}
		else {
			quote(text, String.valueOf(value));
		}
	}

	private static void quote(StringBuilder text, String value) {
		text.append('"');
		int length = Math.min(value.length(), MAX_VALUE_LENGTH);
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
