package org.redwingramp.daemon.internal.runtime;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay open during shutdown. The default one closes them in
 * a shutdown hook of its own, so that the events of a graceful shutdown would be lost.
 * Thread safe.
 */
public final class RetainingLogManager extends LogManager {

	@Override
	public void reset() {
		// Does nothing, so that the handlers stay open until the process exits.
	}

}
