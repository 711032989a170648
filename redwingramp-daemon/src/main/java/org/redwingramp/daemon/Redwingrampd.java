package org.redwingramp.daemon;

import org.redwingramp.daemon.internal.runtime.DaemonMain;

/**
 * The daemon's entry point. Stateless and thread safe.
 *
 * <p>
 * Exit codes: 0 after a graceful stop, 2 for an invalid command line, 3 for validation
 * findings in the settings, 4 if the daemon can't start or fails to stop.
 */
public final class Redwingrampd {

	private static final String LOG_MANAGER_PROPERTY = "java.util.logging.manager";

	// A string, since loading the class here would initialize the default log manager.
	private static final String LOG_MANAGER = "org.redwingramp.daemon.internal.runtime.RetainingLogManager";

	private Redwingrampd() {
	}

	/**
	 * Runs the daemon.
	 * @param args the command line arguments; see {@code --help}
	 */
	public static void main(String[] args) {
		System.setProperty(LOG_MANAGER_PROPERTY, LOG_MANAGER);
		int code = new DaemonMain(System.out, System.err).run(args);
		if (code != DaemonMain.OK) {
			Runtime.getRuntime().halt(code);
		}
	}

}
