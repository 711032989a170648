package org.redwingramp.bench.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the runs of each request identity and appends every run to a journal file.
 * Thread safe.
 *
 * <p>
 * Invariant: a run is written to the file before it begins, so that the file names it
 * even if the process is killed.
 */
final class RunJournal {

	private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();

	private final Optional<OutputStream> file;

	RunJournal(Optional<Path> file) throws IOException {
		this.file = file.isPresent()
				? Optional.of(Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND))
				: Optional.empty();
	}

	// Records that a request is about to run.
	// @return the number of runs of the request including this one; always 1 for requests
	// that may run more than once
	int recordRun(String identity, boolean atMostOnce) {
		this.file.ifPresent((stream) -> append(stream, identity + (atMostOnce ? " once\n" : " any\n")));
		return atMostOnce ? this.runCounts.merge(identity, 1, Integer::sum) : 1;
	}

	private static synchronized void append(OutputStream stream, String line) {
		try {
			stream.write(line.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot append to the journal of runs", ex);
		}
	}

	Map<String, Integer> runCounts() {
		return Map.copyOf(this.runCounts);
	}

	int maxRuns() {
		return this.runCounts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

}
