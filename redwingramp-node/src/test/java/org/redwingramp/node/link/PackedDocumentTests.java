package org.redwingramp.node.link;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.redwingramp.node.api.InvalidDocumentException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against configurations that fill the links of entry instances, so that requests
 * and the news that a target leaves wait behind them, and against damaged documents.
 */
class PackedDocumentTests {

	/** 2 Mbit/s, the slowest link of an entry instance. */
	private static final int LINK_BYTES_PER_SECOND = 250_000;

	/** A tenth of a latency objective of 600 ms. */
	private static final double MAX_TRANSFER_SECONDS = 0.06;

	@Test
	void shouldDelayRequestsLittleInAStormOfConfigurationsWithManyRoutes() {
		byte[] document = configuration(400);
		assertThat(document.length / (double) LINK_BYTES_PER_SECOND).isGreaterThan(MAX_TRANSFER_SECONDS);
		assertThat(PackedDocument.pack(document).length / (double) LINK_BYTES_PER_SECOND)
			.isLessThan(MAX_TRANSFER_SECONDS);
	}

	@Test
	void shouldRestoreTheExactDocument() throws InvalidDocumentException {
		byte[] document = configuration(10);
		assertThat(PackedDocument.unpack(PackedDocument.pack(document))).isEqualTo(document);
		assertThat(PackedDocument.unpack(document)).isEqualTo(document);
		assertThat(PackedDocument.unpack(new byte[0])).isEmpty();
	}

	@Test
	void shouldRejectDamagedOrOversizedDocument() {
		byte[] packed = PackedDocument.pack(configuration(10));
		assertThatThrownBy(() -> PackedDocument.unpack(Arrays.copyOf(packed, packed.length - 9)))
			.isInstanceOf(InvalidDocumentException.class)
			.hasMessageContaining("damaged");
		byte[] oversized = PackedDocument.pack(new byte[PackedDocument.MAX_DOCUMENT_BYTES + 1]);
		assertThatThrownBy(() -> PackedDocument.unpack(oversized)).isInstanceOf(InvalidDocumentException.class)
			.hasMessageContaining("exceeds");
	}

	private static byte[] configuration(int routes) {
		Random random = new Random(1);
		return IntStream.range(0, routes)
			.mapToObj((i) -> "{\"name\":\"r-" + name(random) + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"/"
					+ name(random) + "/\",\"kind\":\"non_idempotent\",\"timeout_s\":1.5,\"target_latency_s\":0.6,"
					+ "\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":2}")
			.collect(Collectors.joining(",", "{\"version\":7,\"routes\":[", "]}"))
			.getBytes(StandardCharsets.UTF_8);
	}

	private static String name(Random random) {
		return Long.toString(random.nextLong(1L << 36), 36);
	}

}
