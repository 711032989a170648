package org.redwingramp.node.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against what an entry instance answers between its start and its first view.
 */
@Timeout(60)
class EntryStartTests {

	/**
	 * Guards against callers that are told that a route doesn't exist, because the
	 * instance has started again and holds no configuration yet.
	 */
	@Test
	void shouldRefuseAsUnavailableUntilAConfigurationIsReceived() throws Exception {
		try (EntryFixture entry = new EntryFixture();
				ScriptedTarget target = new ScriptedTarget(ScriptedTarget.NO_RESPONSE)) {
			assertThat(entry.call("/lookup/1", "a-1")).startsWith("HTTP/1.1 503");
			assertThat(entry.call("/unknown/1", "a-2")).startsWith("HTTP/1.1 503");
			entry.sendViewWithoutConfig();
			assertThat(entry.call("/unknown/1", "a-3")).startsWith("HTTP/1.1 503");
			entry.sendView("t-0", target);
			assertThat(entry.call("/unknown/1", "a-4")).startsWith("HTTP/1.1 404");
		}
	}

}
