package org.redwingramp.daemon.internal.events;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against values from outside that forge log lines or make them excessively long.
 */
class EventLogTests {

	@Test
	void shouldFillTheTemplateInOrder() {
		assertThat(EventLog.format(Event.RETRIED, "id", "no-answer", 2))
			.isEqualTo("RWR-2003 retry request=id after=no-answer attempt=2");
	}

	@Test
	void shouldInsertValuesLiterallyOnOneLineAndTruncateThem() {
		assertThat(EventLog.format(Event.SNAPSHOT, "%s\nRWR-1001", "x".repeat(600)))
			.isEqualTo("RWR-4008 snapshot index=%s?RWR-1001 bytes=" + "x".repeat(512));
	}

}
