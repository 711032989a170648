package org.redwingramp.daemon.internal.runtime;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.logging.Handler;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.redwingramp.records.Finding;
import org.redwingramp.records.Settings;
import org.redwingramp.records.SettingsParseResult;
import org.redwingramp.records.SettingsParser;

/**
 * Parses the command line and the settings, starts the daemon and stops it on SIGTERM.
 * Not thread safe; owned by the main thread.
 */
public final class DaemonMain {

	/** Exit code after a graceful stop, or if the checked settings are valid. */
	public static final int OK = 0;

	/** Exit code for an invalid command line. */
	public static final int USAGE = 2;

	/** Exit code for validation findings in the settings. */
	public static final int FINDINGS = 3;

	/** Exit code if the daemon can't start or fails to stop. */
	public static final int CANNOT_START = 4;

	private static final String VERSION = "redwingrampd 0.1.0";

	private final PrintStream out;

	private final PrintStream err;

	public DaemonMain(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	/**
	 * Runs the daemon until the process is asked to stop.
	 * @param args the command line arguments
	 * @return the exit code
	 */
	public int run(String[] args) {
		try {
			CommandLine line = new DefaultParser().parse(options(), args);
			if (line.hasOption("version")) {
				this.out.println(VERSION);
				return OK;
			}
			if (line.hasOption("help") || !line.hasOption("settings")) {
				new HelpFormatter().printHelp("redwingrampd --settings FILE [--check-settings]", options());
				return line.hasOption("help") ? OK : USAGE;
			}
			return run(line.getOptionValue("settings"), line.hasOption("check-settings"));
		}
		catch (ParseException ex) {
			this.err.println("redwingrampd: " + ex.getMessage());
			return USAGE;
		}
	}

	private int run(String file, boolean checkOnly) {
		SettingsParseResult result;
		try {
			result = SettingsParser.parse(file, Files.readAllBytes(Path.of(file)));
		}
		catch (IOException ex) {
			this.err.println("redwingrampd: the settings file " + file + " can't be read: " + ex);
			return FINDINGS;
		}
		result.findings().stream().map(Finding::text).forEach(this.err::println);
		if (result.settings().isEmpty()) {
			this.err.println(result.findings().size() + " findings");
			return FINDINGS;
		}
		if (checkOnly) {
			this.out.println(file + ": the settings are valid");
			return OK;
		}
		return serve(result.settings().get());
	}

	private int serve(Settings settings) {
		StopSignal signal = StopSignal.install();
		Optional<Handler> log = Optional.empty();
		try {
			log = Optional.of(LogSetup.configure(settings.logging()));
			RunningDaemon daemon = RunningDaemon.start(settings);
			signal.await();
			daemon.stop();
			return OK;
		}
		catch (Exception ex) {
			this.err.println("redwingrampd: the daemon failed to start or stop: " + ex);
			ex.printStackTrace(this.err);
			return CANNOT_START;
		}
		finally {
			log.ifPresent(Handler::close);
			signal.completed();
		}
	}

	private static Options options() {
		return new Options()
			.addOption(Option.builder().longOpt("settings").hasArg().argName("FILE").desc("the settings in TOML").get())
			.addOption(Option.builder().longOpt("check-settings").desc("check the settings and exit").get())
			.addOption(Option.builder().longOpt("version").desc("print the version and exit").get())
			.addOption(Option.builder().longOpt("help").desc("print this help and exit").get());
	}

}
