package org.redwingramp.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Compares the outcomes that callers received with the journals of the targets: no
 * at-most-once request ran twice, no request reported as "not run" ran, and every booking
 * that was answered ran. Stateless and thread safe.
 */
public final class JournalCheck {

	private JournalCheck() {
	}

	/**
	 * Compares the files and prints the result as one JSON line. Exits with 1 if they
	 * contradict each other.
	 * @param args the file with the outcomes and the folder with the journals
	 * @throws IOException if a file can't be read
	 */
	public static void main(String[] args) throws IOException {
		Finding finding = check(Path.of(args[0]), Path.of(args[1]));
		System.out.println(finding.json());
		finding.contradictions().forEach(System.err::println);
		System.exit(finding.consistent() ? 0 : 1);
	}

	static Finding check(Path outcomes, Path journalFolder) throws IOException {
		Map<String, Integer> runs = new HashMap<>();
		Map<String, Integer> atMostOnceRuns = new HashMap<>();
		for (Path journal : journals(journalFolder)) {
			for (String line : Files.readAllLines(journal)) {
				String[] parts = line.split(" ");
				runs.merge(parts[0], 1, Integer::sum);
				if (parts[1].equals("once")) {
					atMostOnceRuns.merge(parts[0], 1, Integer::sum);
				}
			}
		}
		List<String[]> results = Files.readAllLines(outcomes).stream().map((line) -> line.split(" ")).toList();
		List<String> notRun = identities(results, "not");
		List<String> answered = identities(results, "answered");
		return new Finding(atMostOnceRuns.size(),
				atMostOnceRuns.keySet().stream().filter((identity) -> atMostOnceRuns.get(identity) > 1).toList(),
				notRun.size(), notRun.stream().filter(runs::containsKey).toList(), answered.size(),
				answered.stream().filter((identity) -> !runs.containsKey(identity)).toList());
	}

	private static List<String> identities(List<String[]> results, String outcomePrefix) {
		return results.stream().filter((parts) -> parts[1].startsWith(outcomePrefix)).map((parts) -> parts[0]).toList();
	}

	private static List<Path> journals(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter((file) -> file.toString().endsWith(".journal")).toList();
		}
	}

	/**
	 * The result of the comparison. Immutable and thread safe.
	 *
	 * @param atMostOnceRan the number of at-most-once requests that ran
	 * @param ranTwice the at-most-once requests that ran more than once
	 * @param notRunClaims the number of requests that were reported as not run
	 * @param falseNotRun the requests that were reported as not run, but ran
	 * @param answeredBookings the number of answered bookings
	 * @param answeredButNotRun the bookings that were answered, but never ran
	 */
	record Finding(int atMostOnceRan, List<String> ranTwice, int notRunClaims, List<String> falseNotRun,
			int answeredBookings, List<String> answeredButNotRun) {

		boolean consistent() {
			return contradictions().isEmpty();
		}

		List<String> contradictions() {
			return Stream
				.of(this.ranTwice.stream().map("ran twice: "::concat),
						this.falseNotRun.stream().map("reported as not run, but ran: "::concat),
						this.answeredButNotRun.stream().map("answered, but never ran: "::concat))
				.flatMap((lines) -> lines)
				.toList();
		}

		String json() {
			return String.format(
					"{\"atMostOnceRan\":%d,\"ranTwice\":%d,\"notRunClaims\":%d,\"falseNotRun\":%d,"
							+ "\"answeredBookings\":%d,\"answeredButNotRun\":%d}",
					this.atMostOnceRan, this.ranTwice.size(), this.notRunClaims, this.falseNotRun.size(),
					this.answeredBookings, this.answeredButNotRun.size());
		}

	}

}
