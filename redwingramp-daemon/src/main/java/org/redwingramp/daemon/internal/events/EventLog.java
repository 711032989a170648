package org.redwingramp.daemon.internal.events;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;

/**
 * Writes numbered events by Flogger. Stateless and thread safe.
 */
public final class EventLog {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_ARGUMENT_LENGTH = 512;

	private static final int LINE_RESERVE = 128;

	private static final String PLACE = "%s";

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
		// Without a given log site Flogger walks the stack for each line to find it.
		logger.at(event.level()).withInjectedLogSite(LogSite.INVALID).log("%s", text(event, arguments));
	}

	// Fills the template, whose only placeholders are %s. String.format parses the
	// template for each line: 0.65 against 0.23 microseconds for a line of a route
	// decision.
	static String text(Event event, Object... arguments) {
		String template = event.template();
		StringBuilder text = new StringBuilder(template.length() + LINE_RESERVE).append(event.code()).append(' ');
		int from = 0;
		for (Object argument : arguments) {
			int place = template.indexOf(PLACE, from);
			if (place < 0) {
				break;
			}
			appendClean(text.append(template, from, place), String.valueOf(argument));
			from = place + PLACE.length();
		}
		return text.append(template, from, template.length()).toString();
	}

	private static void appendClean(StringBuilder text, String value) {
		int length = Math.min(value.length(), MAX_ARGUMENT_LENGTH);
		for (int i = 0; i < length; i++) {
			char character = value.charAt(i);
			text.append(Character.isISOControl(character) ? '?' : character);
		}
	}

}
