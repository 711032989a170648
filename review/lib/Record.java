import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of what was sent, answered and run. Thread safe. */
final class Record implements AutoCloseable {

	private final long begin = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	double now() {
		return (System.nanoTime() - this.begin) / 1e9;
	}

	synchronized void line(String format, Object... values) {
		this.out.printf("%8.3f %s%n", now(), String.format(format, values));
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
