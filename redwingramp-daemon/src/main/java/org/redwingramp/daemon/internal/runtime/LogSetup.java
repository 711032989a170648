package org.redwingramp.daemon.internal.runtime;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.logging.FileHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.redwingramp.records.Settings;

/**
 * Sets up the log: one line for each event, to standard error or a file. Stateless and
 * thread safe.
 */
final class LogSetup {

	private static final int FILE_BYTES = 64 * 1024 * 1024;

	private static final int FILES = 8;

	private static final int BUFFER_BYTES = 64 * 1024;

	// The log manager holds loggers weakly, so their levels last only as long as these.
	private static final Logger OWN = Logger.getLogger("org.redwingramp");

	private LogSetup() {
	}

	// Sets up the log.
	// @return the handler, which must be closed after the last event
	static Handler apply(Settings.Logging logging) throws IOException {
		Handler handler = logging.file().isPresent() ? file(logging.file().get()) : new RingLogHandler(
				new BufferedOutputStream(new FileOutputStream(FileDescriptor.err), BUFFER_BYTES), new LineFormatter());
		handler.setLevel(Level.ALL);
		Logger root = Logger.getLogger("");
		Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
		root.addHandler(handler);
		root.setLevel(Level.WARNING);
		OWN.setLevel(logging.level());
		return handler;
	}

	private static Handler file(Path path) throws IOException {
		Handler handler = new FileHandler(path.toString(), FILE_BYTES, FILES, true);
		handler.setFormatter(new LineFormatter());
		return handler;
	}

	private static final class LineFormatter extends Formatter {

		@Override
		public String format(LogRecord record) {
			String failure = (record.getThrown() != null) ? " " + record.getThrown() : "";
			return Instant.ofEpochMilli(record.getMillis()) + " " + record.getLevel() + " " + formatMessage(record)
					+ failure + "\n";
		}

	}

}
