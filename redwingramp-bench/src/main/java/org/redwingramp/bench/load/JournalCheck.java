package org.redwingramp.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Compares the outcomes that callers got with the journals of the targets: no
 * at-most-once request ran twice, every "not run" is true, and everything answered ran.
 * Stateless and thread safe.
 */
public final class JournalCheck {

	private JournalCheck() {
	}

	/**
	 * Checks and prints one JSON line. Exits with 1 on a violation.
	 * @param args the file of outcomes and the folder with the journals
	 * @throws IOException if a file can't be read
	 */
	public static void main(String[] args) throws IOException {
		Map<String, Integer> runs = new HashMap<>();
		Map<String, Integer> once = new HashMap<>();
		for (Path journal : journals(Path.of(args[1]))) {
			for (String line : Files.readAllLines(journal)) {
				String[] parts = line.split(" ");
				runs.merge(parts[0], 1, Integer::sum);
				if (parts[1].equals("once")) {
					once.merge(parts[0], 1, Integer::sum);
				}
			}
		}
		Counts counts = new Counts(runs);
		Files.readAllLines(Path.of(args[0])).forEach(counts::add);
		List<String> twice = once.keySet().stream().filter((identity) -> once.get(identity) > 1).toList();
		System.out.printf(
				"{\"atMostOnceRan\":%d,\"ranTwice\":%d,\"notRunClaims\":%d,\"falseNotRun\":%d,"
						+ "\"answeredBookings\":%d,\"answeredButNotRun\":%d}%n",
				once.size(), twice.size(), counts.claims, counts.falseClaims, counts.answered, counts.answeredNotRun);
		boolean sound = twice.isEmpty() && counts.falseClaims == 0 && counts.answeredNotRun == 0;
		System.exit(sound ? 0 : 1);
	}

	private static List<Path> journals(Path folder) throws IOException {
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter((file) -> file.toString().endsWith(".journal")).toList();
		}
	}

	private static final class Counts {

		private final Map<String, Integer> runs;

		private int claims;

		private int falseClaims;

		private int answered;

		private int answeredNotRun;

		Counts(Map<String, Integer> runs) {
			this.runs = runs;
		}

		void add(String line) {
			String[] parts = line.split(" ");
			boolean ran = this.runs.containsKey(parts[0]);
			if (parts[1].startsWith("not")) {
				this.claims++;
				this.falseClaims += ran ? 1 : 0;
				if (ran) {
					System.err.println("said to be not run, but ran: " + parts[0]);
				}
			}
			else if (parts[1].equals("answered")) {
				this.answered++;
				this.answeredNotRun += ran ? 0 : 1;
			}
		}

	}

}
