package org.redwingramp.node.events;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a log whose rate isn't limited, that drops failures in favour of
 * successes, or that isn't one JSON object per line.
 */
class EventWriterTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final EventWriter events = new EventWriter(this.output, "i-1");

	@Test
	void shouldWriteOneJsonObjectPerLine() throws Exception {
		this.events.log(NodeEvent.REQUEST_REFUSED, "request", "a\"b\nc", "status", 503, "wait", 1.23456);
		this.events.close();
		JsonNode line = new ObjectMapper().readTree(text());
		assertThat(line.get("event").asText()).isEqualTo("RWR-7102");
		assertThat(line.get("request").asText()).isEqualTo("a\"b?c");
		assertThat(line.get("status").asInt()).isEqualTo(503);
		assertThat(text().lines()).hasSize(1);
	}

	@Test
	void shouldReserveLinesForFailuresAndReportDroppedLines() {
		IntStream.range(0, EventWriter.LINES_PER_SECOND * 2)
			.forEach((i) -> this.events.log(NodeEvent.REQUEST_ANSWERED, "request", i));
		this.events.log(NodeEvent.REQUEST_FAILED, "request", "failed");
		this.events.close();
		assertThat(text().lines().filter((line) -> line.contains("RWR-7101")).count())
			.isLessThanOrEqualTo(EventWriter.LINES_PER_SECOND);
		assertThat(text()).contains("RWR-7103").contains("RWR-7005");
	}

	private String text() {
		return this.output.toString(StandardCharsets.UTF_8);
	}

}
