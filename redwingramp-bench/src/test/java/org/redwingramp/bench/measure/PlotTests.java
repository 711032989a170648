package org.redwingramp.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class PlotTests {

	private final Plot plot = new Plot("t.svg", "tail-latency", "p99", true);

	/** Guards against plots that omit values or show those of another figure. */
	@Test
	void shouldDrawOneBarForEachSetup(@TempDir Path directory) throws IOException {
		this.plot.write(directory, List.of(result("svc slowed=1 all p99", 35), result("svc slowed=1 baseline p99", 900),
				result("svc slowed=1 all p99.9", 7777)));
		assertThat(Files.readString(directory.resolve("t.svg")))
			.contains("d: svc slowed=1", ">all<", ">baseline<", ">35.00<", ">900.0<")
			.doesNotContain("7777");
	}

	/** Guards against lines that aren't JSON in the documented form. */
	@Test
	void shouldPrintADocumentedJsonLine() {
		assertThat(result("c", 1.5).json())
			.isEqualTo("{\"deployment\":\"d\",\"measure\":\"tail-latency\",\"case\":\"c\",\"value\":1.5000,"
					+ "\"unit\":\"ms\",\"n\":10,\"seed\":1}");
	}

	private Result result(String name, double value) {
		return new Result("d", "tail-latency", name, value, "ms", 10, 1);
	}

}
