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
 * Configures java.util.logging: one line for each event, to standard error or a file.
 * Stateless and thread safe.
 */
final class LogSetup {

	private static final int MAX_FILE_BYTES = 64 * 1024 * 1024;

	private static final int MAX_FILES = 8;

	private static final int BUFFER_BYTES = 64 * 1024;

	// The log manager holds only weak references to loggers. Without this strong one, the
	// logger and its level could be garbage collected.
	private static final Logger PROJECT_LOGGER = Logger.getLogger("org.redwingramp");

	private LogSetup() {
	}

	// Configures the log and returns its handler, which the caller closes after the last
	// event.
	static Handler configure(Settings.Logging logging) throws IOException {
		Handler handler = logging.file().isPresent() ? fileHandler(logging.file().get()) : new RingLogHandler(
				new BufferedOutputStream(new FileOutputStream(FileDescriptor.err), BUFFER_BYTES), new LineFormatter());
		handler.setLevel(Level.ALL);
		Logger root = Logger.getLogger("");
		Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
		root.addHandler(handler);
		root.setLevel(Level.WARNING);
		PROJECT_LOGGER.setLevel(logging.level());
		return handler;
	}

	private static Handler fileHandler(Path path) throws IOException {
		Handler handler = new FileHandler(path.toString(), MAX_FILE_BYTES, MAX_FILES, true);
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
