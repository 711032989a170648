package org.redwingramp.daemon.internal.events;

import java.util.Locale;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;

/**
 * Writes numbered events by Flogger. Stateless and thread safe.
 */
public final class EventLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_ARGUMENT_LENGTH = 512;

	private EventLog() {
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @param arguments the values for the template; line breaks are replaced, so that a
	 * value from outside can't forge a line
	 */
	public static void log(Event event, Object... arguments) {
		if (!logger.at(event.level()).isEnabled()) {
			return;
		}
		Object[] clean = new Object[arguments.length];
		for (int i = 0; i < arguments.length; i++) {
			clean[i] = clean(String.valueOf(arguments[i]));
		}
		// Without a given log site Flogger walks the stack for each line to find it.
		logger.at(event.level())
			.withInjectedLogSite(LogSite.INVALID)
			.log("%s %s", event.code(), String.format(Locale.ROOT, event.template(), clean));
	}

	private static String clean(String value) {
		String text = (value.length() <= MAX_ARGUMENT_LENGTH) ? value : value.substring(0, MAX_ARGUMENT_LENGTH);
		if (text.chars().noneMatch(Character::isISOControl)) {
			return text;
		}
		return text.replaceAll("\\p{Cntrl}", "?");
	}

}
