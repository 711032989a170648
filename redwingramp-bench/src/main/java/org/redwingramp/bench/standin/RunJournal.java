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
 * Counts runs by request identity and appends them to a file. Thread safe.
 *
 * <p>
 * Invariant: a run is in the file before the run begins, so that it is known after the
 * process was killed.
 */
final class RunJournal {

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Optional<OutputStream> file;

	RunJournal(Optional<Path> file) throws IOException {
		this.file = file.isPresent()
				? Optional.of(Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND))
				: Optional.empty();
	}

	// Records a run.
	// @return how often the request has run with this run
	int ran(String identity, boolean atMostOnce) {
		this.file.ifPresent((stream) -> append(stream, identity + (atMostOnce ? " once\n" : " any\n")));
		return atMostOnce ? this.runs.merge(identity, 1, Integer::sum) : 1;
	}

	private static synchronized void append(OutputStream stream, String line) {
		try {
			stream.write(line.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the journal of runs can't be written", ex);
		}
	}

	Map<String, Integer> runs() {
		return Map.copyOf(this.runs);
	}

	int mostRuns() {
		return this.runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

}
