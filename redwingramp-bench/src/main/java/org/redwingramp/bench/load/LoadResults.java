package org.redwingramp.bench.load;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Counts the outcomes of requests and records their latencies. Thread safe.
 *
 * <p>
 * Times are in nanoseconds internally, and in microseconds and milliseconds in the
 * report. An outage of a key lasts from the intended send time of its oldest unanswered
 * request to the next response for the key.
 */
final class LoadResults {

	private static final long MAX_LATENCY_NANOS = TimeUnit.MINUTES.toNanos(2);

	private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> problems = new ConcurrentHashMap<>();

	private final ConcurrentHistogram latencies = new ConcurrentHistogram(MAX_LATENCY_NANOS, 3);

	private final Map<String, Long> unansweredSince = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> lastAnswerNanos = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> longestGapNanos = new ConcurrentHashMap<>();

	private long longestOutageNanos;

	private long outageEndedMillis;

	private final Optional<PrintWriter> outcomeFile;

	private volatile long measuredFromNanos;

	LoadResults(LoadOptions options) throws IOException {
		this.outcomeFile = options.outcomes().isPresent()
				? Optional.of(new PrintWriter(Files.newBufferedWriter(options.outcomes().get()))) : Optional.empty();
	}

	void measureFrom(long nanos) {
		this.measuredFromNanos = nanos;
	}

	void count(String counter) {
		this.counts.computeIfAbsent(counter, (name) -> new LongAdder()).increment();
	}

	void countProblem(String code) {
		this.problems.computeIfAbsent(code, (name) -> new LongAdder()).increment();
	}

	// Writes the outcome of a request to the file that is compared with the targets'
	// journals.
	synchronized void recordOutcome(String identity, String outcome) {
		this.outcomeFile.ifPresent((writer) -> writer.println(identity + " " + outcome));
	}

	void recordAnswered(String key, String target, long intendedNanos, long now) {
		count("answered");
		if (now >= this.measuredFromNanos) {
			this.latencies.recordValue(Math.min(MAX_LATENCY_NANOS, now - intendedNanos));
		}
		recordGap(target, now);
		recordGap("all", now);
		Long since = this.unansweredSince.remove(key);
		if (since != null) {
			recordOutage(now - since);
		}
	}

	private void recordGap(String name, long now) {
		long previous = this.lastAnswerNanos.computeIfAbsent(name, (absent) -> new AtomicLong(now)).getAndSet(now);
		this.longestGapNanos.computeIfAbsent(name, (absent) -> new AtomicLong())
			.accumulateAndGet(now - previous, Math::max);
	}

	void recordStarted(String key, long intendedNanos) {
		this.unansweredSince.putIfAbsent(key, intendedNanos);
	}

	private synchronized void recordOutage(long nanos) {
		if (nanos > this.longestOutageNanos) {
			this.longestOutageNanos = nanos;
			this.outageEndedMillis = System.currentTimeMillis();
		}
	}

	ObjectNode report(double seconds) {
		this.outcomeFile.ifPresent(PrintWriter::close);
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		new TreeMap<>(this.counts).forEach((name, count) -> node.put(name, count.sum()));
		long sent = sum("sent");
		node.put("share", (sent == 0) ? 0 : Math.round(1e6 * (sum("answered") - sum("probesAnswered")) / sent) / 1e6);
		node.put("perSecond", Math.round(this.latencies.getTotalCount() / seconds));
		node.put("p50us", micros(50)).put("p90us", micros(90)).put("p99us", micros(99)).put("maxUs", micros(100));
		node.put("keysUnanswered", this.unansweredSince.size());
		node.put("longestOutageMs", TimeUnit.NANOSECONDS.toMillis(this.longestOutageNanos));
		node.put("outageEnded", this.outageEndedMillis);
		ObjectNode gaps = node.putObject("longestGapMs");
		new TreeMap<>(this.longestGapNanos)
			.forEach((name, gap) -> gaps.put(name, TimeUnit.NANOSECONDS.toMillis(gap.get())));
		ObjectNode codes = node.putObject("problems");
		new TreeMap<>(this.problems).forEach((name, count) -> codes.put(name, count.sum()));
		return node;
	}

	private long sum(String name) {
		LongAdder count = this.counts.get(name);
		return (count != null) ? count.sum() : 0;
	}

	private long micros(double percentile) {
		return TimeUnit.NANOSECONDS.toMicros(this.latencies.getValueAtPercentile(percentile));
	}

}
