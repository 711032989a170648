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
 * Counts outcomes and times. Thread safe.
 *
 * <p>
 * Units: times in nanoseconds inside, microseconds and milliseconds in the report. A
 * key's outage lasts from the intended time of the first request that isn't answered yet
 * to the next answer for the key.
 */
final class Tally {

	private static final long LONGEST_NANOS = TimeUnit.MINUTES.toNanos(2);

	private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> problems = new ConcurrentHashMap<>();

	private final ConcurrentHistogram times = new ConcurrentHistogram(LONGEST_NANOS, 3);

	private final Map<String, Long> unansweredSince = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> lastAnswer = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> longestGap = new ConcurrentHashMap<>();

	private long longestOutage;

	private long outageEndedMillis;

	private final Optional<PrintWriter> outcomes;

	private volatile long measuredFrom;

	Tally(LoadOptions options) throws IOException {
		this.outcomes = options.outcomes().isPresent()
				? Optional.of(new PrintWriter(Files.newBufferedWriter(options.outcomes().get()))) : Optional.empty();
	}

	void measureFrom(long nanos) {
		this.measuredFrom = nanos;
	}

	void count(String what) {
		this.counts.computeIfAbsent(what, (name) -> new LongAdder()).increment();
	}

	void problem(String code) {
		this.problems.computeIfAbsent(code, (name) -> new LongAdder()).increment();
	}

	// Records how a request ended, for the check against the targets' journals.
	synchronized void outcome(String identity, String outcome) {
		this.outcomes.ifPresent((writer) -> writer.println(identity + " " + outcome));
	}

	void answered(String key, String target, long intended, long now) {
		count("answered");
		if (now >= this.measuredFrom) {
			this.times.recordValue(Math.min(LONGEST_NANOS, now - intended));
		}
		gap(target, now);
		gap("all", now);
		Long since = this.unansweredSince.remove(key);
		if (since != null) {
			outage(now - since);
		}
	}

	private void gap(String name, long now) {
		long before = this.lastAnswer.computeIfAbsent(name, (absent) -> new AtomicLong(now)).getAndSet(now);
		this.longestGap.computeIfAbsent(name, (absent) -> new AtomicLong()).accumulateAndGet(now - before, Math::max);
	}

	void started(String key, long intended) {
		this.unansweredSince.putIfAbsent(key, intended);
	}

	private synchronized void outage(long nanos) {
		if (nanos > this.longestOutage) {
			this.longestOutage = nanos;
			this.outageEndedMillis = System.currentTimeMillis();
		}
	}

	ObjectNode report(double seconds) {
		this.outcomes.ifPresent(PrintWriter::close);
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		new TreeMap<>(this.counts).forEach((name, count) -> node.put(name, count.sum()));
		long sent = sum("sent");
		node.put("share", (sent == 0) ? 0 : Math.round(1e6 * (sum("answered") - sum("probesAnswered")) / sent) / 1e6);
		node.put("perSecond", Math.round(this.times.getTotalCount() / seconds));
		node.put("p50us", micros(50)).put("p90us", micros(90)).put("p99us", micros(99)).put("maxUs", micros(100));
		node.put("keysUnanswered", this.unansweredSince.size());
		node.put("longestOutageMs", TimeUnit.NANOSECONDS.toMillis(this.longestOutage));
		node.put("outageEnded", this.outageEndedMillis);
		ObjectNode gaps = node.putObject("longestGapMs");
		new TreeMap<>(this.longestGap).forEach((name, gap) -> gaps.put(name, TimeUnit.NANOSECONDS.toMillis(gap.get())));
		ObjectNode codes = node.putObject("problems");
		new TreeMap<>(this.problems).forEach((name, count) -> codes.put(name, count.sum()));
		return node;
	}

	private long sum(String name) {
		LongAdder count = this.counts.get(name);
		return (count != null) ? count.sum() : 0;
	}

	private long micros(double percentile) {
		return TimeUnit.NANOSECONDS.toMicros(this.times.getValueAtPercentile(percentile));
	}

}
